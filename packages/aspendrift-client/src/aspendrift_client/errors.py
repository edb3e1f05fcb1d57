"""Errors of the client, each with its exit code."""

from __future__ import annotations

from enum import IntEnum

__all__ = [
    "ClientError",
    "ConfigurationMissing",
    "ExitCode",
    "InvalidAnswer",
    "InvalidInput",
    "RefusedByDaemon",
    "Unreached",
]


class ExitCode(IntEnum):
    """Exit codes of the command line; they are part of its public interface."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHED = 4
    UNKNOWN = 5
    CONFLICT = 6


class ClientError(Exception):
    """Base class of the client's errors."""

    exit_code = ExitCode.FAILED


class ConfigurationMissing(ClientError):
    """An option that the command needs was not given."""

    exit_code = ExitCode.USAGE


class InvalidInput(ClientError):
    """A file or value given by the user is invalid."""

    exit_code = ExitCode.USAGE


class InvalidAnswer(ClientError):
    """A daemon's answer does not follow the protocol."""


class RefusedByDaemon(ClientError):
    """A daemon refused the operation; it had no effect."""

    exit_code = ExitCode.REFUSED


class Unreached(ClientError):
    """No daemon answered."""

    exit_code = ExitCode.UNREACHED
