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

# An event that repeats is written again after this time, with its count.
_FOLD_S: Final = 5.0


def configure_logging(level: str, file: BinaryIO | LineSink | None = None) -> None:
    """Send structlog's JSON lines to a file from a level upwards.

    The file is standard error unless another is given. The standard library's log
    goes there as well, from level warning: libraries log each exchange at info.
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
    """A file that takes whole lines."""

    def write(self, line: bytes, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Write what was taken."""


class _StructlogHandler(logging.Handler):
    """Passes the standard library's records on to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one structured line."""
        structlog.get_logger(record.name).log(
            record.levelno, "library_message", text=record.getMessage()
        )


def connect_event_log(
    hub: EventHub, clock: Callable[[], float] = time.monotonic
) -> None:
    """Write a line at level info for every event of a hub.

    An event that is equal to the latest of its type and comes soon after it is
    counted, not written; the count stands in the line after (``n_repeats``).
    """
    logger = structlog.get_logger("aspendrift")
    names_by_type: dict[type[Event], tuple[str, ...]] = {}
    latest_by_type: dict[type[Event], _Latest] = {}

    def write(event: Event) -> None:
        now = clock()
        latest = latest_by_type.get(type(event))
        if latest is not None and latest.folds(event, now):
            latest.n_repeats += 1
            return
        latest_by_type[type(event)] = _Latest(event, now)
        names = names_by_type.get(type(event))
        if names is None:
            names = tuple(field.name for field in dataclasses.fields(event))
            names_by_type[type(event)] = names
        values = {name: getattr(event, name) for name in names}
        if latest is not None and latest.n_repeats:
            values["n_repeats"] = latest.n_repeats
        logger.info(event.name, **values)

    hub.connect_all(write)


@dataclasses.dataclass(slots=True)
class _Latest:
    """The event of one type that was written last."""

    event: Event
    written_at: float
    n_repeats: int = 0

    def folds(self, event: Event, now: float) -> bool:
        """Return whether an event says nothing beyond this one."""
        return now - self.written_at < _FOLD_S and event == self.event


def _encode(line: dict[str, Any], **options: Any) -> bytes:
    """Return a line as JSON; what is of no JSON type is shown by its repr.

    A line must never fail the code that logs it, so values that JSON can't hold
    are shown in ASCII.
    """
    try:
        return msgspec.json.encode(line, enc_hook=repr)
    except (ValueError, OverflowError, TypeError):
        shown = {ascii(name): ascii(value) for name, value in line.items()}
        return msgspec.json.encode(shown)
