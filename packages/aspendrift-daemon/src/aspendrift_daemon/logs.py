"""Structured logging: one JSON line for each event."""

from __future__ import annotations

import dataclasses
import logging
import sys
import time
from collections.abc import Callable
from typing import Any, BinaryIO, Final, Protocol, cast

import msgspec
import structlog

from aspendrift_daemon.events import Event, EventHub

__all__ = ["LineSink", "configure_logging", "connect_event_log"]

# An event that repeats within this time is counted instead of written.
_REPEAT_WINDOW_S: Final = 5.0


def configure_logging(level: str, file: BinaryIO | LineSink | None = None) -> None:
    """Write structlog's JSON lines at or above a level to a file.

    The file is standard error unless another is given. The standard library's log
    goes there as well, from level warning only: libraries log each exchange at
    level info.
    """
    sink = file or sys.stderr.buffer
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.BytesLoggerFactory(file=cast(BinaryIO, sink)),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(
        handlers=[_StructlogHandler()], level=logging.WARNING, force=True
    )


class LineSink(Protocol):
    """File-like object that accepts complete lines."""

    def write(self, line: bytes, /) -> int:
        """Accept a line."""

    def flush(self) -> None:
        """Write out the accepted lines."""


class _StructlogHandler(logging.Handler):
    """Forwards the standard library's records to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one structured line."""
        structlog.get_logger(record.name).log(
            record.levelno, "library_message", text=record.getMessage()
        )


def connect_event_log(
    hub: EventHub, clock: Callable[[], float] = time.monotonic
) -> None:
    """Write a line at level info for every event of a hub.

    An event that equals the last one written of its type and follows it within a
    few seconds is counted, not written; the next line of the type has the count
    (``n_repeats``).
    """
    logger = structlog.get_logger("aspendrift")
    names_by_type: dict[type[Event], tuple[str, ...]] = {}
    last_by_type: dict[type[Event], _LastWritten] = {}

    def write(event: Event) -> None:
        now = clock()
        last = last_by_type.get(type(event))
        if last is not None and last.is_repeat(event, now):
            last.n_repeats += 1
            return
        last_by_type[type(event)] = _LastWritten(event, now)
        names = names_by_type.get(type(event))
        if names is None:
            names = tuple(field.name for field in dataclasses.fields(event))
            names_by_type[type(event)] = names
        values = {name: getattr(event, name) for name in names}
        if last is not None and last.n_repeats:
            values["n_repeats"] = last.n_repeats
        logger.info(event.name, **values)

    hub.connect_all(write)


@dataclasses.dataclass(slots=True)
class _LastWritten:
    """The event of one type that was written last, with the count of its repeats."""

    event: Event
    written_at: float
    n_repeats: int = 0

    def is_repeat(self, event: Event, now: float) -> bool:
        """Return whether an event repeats this one within the time window."""
        return now - self.written_at < _REPEAT_WINDOW_S and event == self.event


def _encode(line: dict[str, Any], **options: Any) -> bytes:
    """Return a line as JSON; a value without a JSON type is written as its repr.

    Logging must never raise in the code that logs, so a line with values that
    JSON can't represent is written with all values as ASCII text.
    """
    try:
        return msgspec.json.encode(line, enc_hook=repr)
    except (ValueError, OverflowError, TypeError):
        shown = {ascii(name): ascii(value) for name, value in line.items()}
        return msgspec.json.encode(shown)
