"""Exceptions to catch when decoding untrusted input.

Deep nesting in a field that the message type does not define raises
``RecursionError``, which is not a subclass of ``msgspec.MsgspecError``.
"""

from __future__ import annotations

from typing import Final

import msgspec

__all__ = ["DECODE_ERRORS"]

DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
)
