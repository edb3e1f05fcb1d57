"""Test configuration shared by all packages."""

from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("repeatable")
