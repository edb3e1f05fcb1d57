"""Errors of the stand-ins and of the tools that drive them."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = [
    "AlreadyRunning",
    "FleetError",
    "NotReady",
    "ProcessEnded",
    "PublishError",
    "SenderFailed",
    "UnknownProcess",
]


class FleetError(Exception):
    """A process of a fleet that isn't as expected."""


class ProcessEnded(FleetError):
    """A process ended before it was ready."""

    def __init__(self, name: str, code: int, log_tail: str) -> None:
        super().__init__(f"{name} ended with {code} before it was ready:\n{log_tail}")
        self.name = name
        self.code = code


class NotReady(FleetError):
    """A process that didn't write its ready file in time."""

    def __init__(self, name: str, waited_s: float, log_tail: str) -> None:
        super().__init__(f"{name} was not ready after {waited_s:g} s:\n{log_tail}")
        self.name = name


class UnknownProcess(FleetError):
    """A name that no process of the fleet has."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name


class CommandFailed(FleetError):
    """A command that ended with an error."""

    def __init__(self, words: Sequence[str], code: int, output: str) -> None:
        super().__init__(f"{' '.join(words)} ended with {code}:\n{output}")
        self.code = code


class PublishError(FleetError):
    """A configuration change that did not come into force."""

    def __init__(self, item: str, detail: str) -> None:
        super().__init__(f"{item}: {detail}")
        self.item = item


class SenderFailed(FleetError):
    """A load sender that ended without its records."""

    def __init__(self, name: str, log_tail: str) -> None:
        super().__init__(f"{name}:\n{log_tail}")
        self.name = name


class AlreadyRunning(FleetError):
    """A process that was to be started although it runs."""

    def __init__(self, name: str, pid: int) -> None:
        super().__init__(f"{name} runs as {pid}")
        self.name = name
