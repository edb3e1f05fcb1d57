"""Structured logging: one JSON line for each event."""

from __future__ import annotations

import dataclasses
import logging
import sys
from typing import Any

import msgspec
import structlog

from aspendrift_daemon.events import Event, EventHub

__all__ = ["configure_logging", "connect_event_log"]


def configure_logging(level: str) -> None:
    """Send structlog's JSON lines to standard error from a level upwards."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=_plain),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def connect_event_log(hub: EventHub) -> None:
    """Write a line at level info for every event of a hub."""
    logger = structlog.get_logger("aspendrift")

    def write(event: Event) -> None:
        fields = {
            field.name: getattr(event, field.name)
            for field in dataclasses.fields(event)
        }
        logger.info(event.name, **fields)

    hub.connect_all(write)


def _plain(value: Any) -> Any:
    """Return a value that is not of a JSON type as one that is."""
    return msgspec.to_builtins(value, enc_hook=repr)
