"""What decoding raises for input that can't be read.

Deep nesting in a field that the type doesn't know ends with ``RecursionError``,
which is no ``MsgspecError``. Whoever decodes input from outside catches these.
"""

from __future__ import annotations

from typing import Final

import msgspec

__all__ = ["UNREADABLE"]

UNREADABLE: Final = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
)
