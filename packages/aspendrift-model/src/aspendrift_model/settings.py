"""Settings of a daemon: the root section and loading from a file."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import json5

from aspendrift_model.settings_base import (
    SettingProblem,
    SettingsError,
    build_section,
    setting,
)
from aspendrift_model.settings_http import HttpSettings
from aspendrift_model.settings_leaving import LeavingSettings
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.settings_platform import PlatformSettings
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.settings_routing import RoutingSettings

__all__ = ["DaemonSettings", "LogLevel", "load_settings"]


class LogLevel(Enum):
    """Minimum severity of log messages."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Root section of a daemon's settings file."""

    daemon_id: str = setting(doc="Unique name of the daemon.")
    zone: str = setting(doc="Availability zone of the host.")
    region: str = setting(doc="Region of the host.")
    platform: PlatformSettings = setting(doc="The platform's services.")
    log_level: LogLevel = setting(
        LogLevel.INFO, doc="Minimum severity of log messages."
    )
    ready_file: str = setting(
        "", doc="File to which the daemon writes its addresses once it listens."
    )
    http: HttpSettings = field(default_factory=HttpSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    leaving: LeavingSettings = field(default_factory=LeavingSettings)


def load_settings(path: Path) -> DaemonSettings:
    """Read and validate a settings file (JSON with comments).

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is invalid; lists every problem.
    """
    source = str(path)
    try:
        values = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        problem = SettingProblem("", str(error), "a readable file")
        raise SettingsError(source, (problem,)) from error
    except (ValueError, RecursionError) as error:
        problem = SettingProblem("", str(error), "JSON with comments")
        raise SettingsError(source, (problem,)) from error
    if not isinstance(values, dict):
        problem = SettingProblem("", type(values).__name__, "an object")
        raise SettingsError(source, (problem,))
    problems: list[SettingProblem] = []
    settings = build_section(DaemonSettings, values, "", problems)
    if problems:
        raise SettingsError(source, tuple(problems))
    return settings
