"""Prints results as a text table or as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import click
import msgspec

__all__ = ["OutputFormat", "OutputWriter", "format_table"]

_COLUMN_GAP: Final = "  "


class OutputFormat(Enum):
    """Formats of ``--output``."""

    TABLE = "table"
    JSON = "json"


def format_table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as aligned columns below a header line."""
    lines = [[name.upper() for name in columns]]
    lines += [[_cell(value) for value in row] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    padded = (
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def _cell(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, Enum):
        return str(value.value)
    return f"{value:.1f}" if isinstance(value, float) else str(value)


@dataclass(frozen=True, slots=True)
class OutputWriter:
    """Writes results to standard output in one format."""

    format: OutputFormat = OutputFormat.TABLE

    def write_rows(
        self, columns: Sequence[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print rows as a table, or as a JSON list of objects."""
        if self.format is OutputFormat.JSON:
            self._write_json([dict(zip(columns, row, strict=True)) for row in rows])
        else:
            click.echo(format_table(columns, rows))

    def write_value(self, value: Any, text: str) -> None:
        """Print a value as JSON, or the text in table format."""
        if self.format is OutputFormat.JSON:
            self._write_json(value)
        else:
            click.echo(text)

    def _write_json(self, value: Any) -> None:
        encoded = msgspec.json.encode(value, enc_hook=str)
        click.echo(msgspec.json.format(encoded, indent=2).decode())
