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
    """Base of the errors of a fleet and of its processes."""


class ProcessEnded(FleetError):
    """A process exited before it was ready."""

    def __init__(self, name: str, code: int, log_tail: str) -> None:
        super().__init__(f"{name} exited with code {code} before ready:\n{log_tail}")
        self.name = name
        self.code = code


class NotReady(FleetError):
    """A process did not write its ready file in time."""

    def __init__(self, name: str, waited_s: float, log_tail: str) -> None:
        super().__init__(
            f"{name} wrote no ready file within {waited_s:g} s:\n{log_tail}"
        )
        self.name = name


class UnknownProcess(FleetError):
    """No process of the fleet has this name."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.name = name


class CommandFailed(FleetError):
    """A command exited with a code other than 0."""

    def __init__(self, words: Sequence[str], code: int, output: str) -> None:
        super().__init__(f"{' '.join(words)} exited with code {code}:\n{output}")
        self.code = code


class PublishError(FleetError):
    """A configuration change was refused or did not come into force in time."""

    def __init__(self, item: str, detail: str) -> None:
        super().__init__(f"{item}: {detail}")
        self.item = item


class SenderFailed(FleetError):
    """A load sender process exited with an error."""

    def __init__(self, name: str, log_tail: str) -> None:
        super().__init__(f"load sender {name} failed:\n{log_tail}")
        self.name = name


class AlreadyRunning(FleetError):
    """A process that is running was started again."""

    def __init__(self, name: str, pid: int) -> None:
        super().__init__(f"{name} is already running with pid {pid}")
        self.name = name
