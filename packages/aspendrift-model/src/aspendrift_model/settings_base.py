"""Declaration, validation and listing of settings.

A section is a frozen dataclass whose fields are declared with :func:`setting`.
The declarations are used to validate a file, to document it and to supply
defaults.
"""

from __future__ import annotations

import dataclasses
import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, TypeVar, get_args, get_origin, get_type_hints

__all__ = [
    "SettingInfo",
    "SettingProblem",
    "SettingsError",
    "build_section",
    "list_settings",
    "setting",
]

_METADATA_KEY: Final = "aspendrift"
_SectionT = TypeVar("_SectionT")


@dataclass(frozen=True, slots=True)
class _SettingMetadata:
    unit: str
    doc: str
    minimum: float | None
    maximum: float | None


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """An invalid setting: its path, the value found and the values allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}, allowed: {self.allowed}"


class SettingsError(Exception):
    """An invalid settings file, with every problem found in it."""

    def __init__(self, source: str, problems: tuple[SettingProblem, ...]) -> None:
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems))
        self.source = source
        self.problems = problems


@dataclass(frozen=True, slots=True)
class SettingInfo:
    """Description of a declared setting, for listings and reference pages."""

    path: str
    type_name: str
    unit: str
    default: str
    allowed: str
    doc: str


def setting(
    default: Any = dataclasses.MISSING,
    *,
    unit: str = "",
    doc: str,
    minimum: float | None = None,
    maximum: float | None = None,
) -> Any:
    """Declare a setting; a setting without a default is required."""
    meta = {_METADATA_KEY: _SettingMetadata(unit, doc, minimum, maximum)}
    return dataclasses.field(default=default, metadata=meta)


def _describe_allowed(hint: Any, meta: _SettingMetadata) -> str:
    text = _type_name(hint)
    if meta.minimum is not None:
        text += f" >= {meta.minimum:g}"
    if meta.maximum is not None:
        text += f" <= {meta.maximum:g}"
    return text + (f" ({meta.unit})" if meta.unit else "")


def _type_name(hint: Any) -> str:
    if isinstance(hint, type) and issubclass(hint, Enum):
        return " | ".join(repr(member.value) for member in hint)
    if get_origin(hint) is not None:
        names = [_type_name(arg) for arg in get_args(hint) if arg is not Ellipsis]
        if get_origin(hint) is tuple:
            return f"list of {names[0]}"
        return " | ".join(names)
    if dataclasses.is_dataclass(hint):
        return "object"
    return "null" if hint is type(None) else str(getattr(hint, "__name__", hint))


class _Reject(Exception):
    """Raised for a value of the wrong type or outside its range."""


def _convert_scalar(hint: Any, value: Any) -> Any:
    if hint is float and type(value) in (int, float) and math.isfinite(value):
        return float(value)
    if hint in (int, bool, str) and type(value) is hint:
        return value
    if isinstance(hint, type) and issubclass(hint, Enum):
        for member in hint:
            if member.value == value:
                return member
    if hint is type(None) and value is None:
        return None
    raise _Reject


def _convert(hint: Any, value: Any, path: str, problems: list[SettingProblem]) -> Any:
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        if not isinstance(value, Mapping):
            raise _Reject
        return build_section(hint, value, path, problems)
    if get_origin(hint) is tuple:
        if not isinstance(value, list):
            raise _Reject
        item = get_args(hint)[0]
        return tuple(
            _convert(item, each, f"{path}[{i}]", problems)
            for i, each in enumerate(value)
        )
    if get_origin(hint) is not None:
        for option in get_args(hint):
            try:
                return _convert(option, value, path, problems)
            except _Reject:
                continue
        raise _Reject
    return _convert_scalar(hint, value)


def _in_range(value: Any, meta: _SettingMetadata) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return True
    low = meta.minimum is None or value >= meta.minimum
    return low and (meta.maximum is None or value <= meta.maximum)


def build_section(
    section: type[_SectionT],
    values: Mapping[str, Any],
    path: str = "",
    problems: list[SettingProblem] | None = None,
) -> _SectionT:
    """Build a section from parsed values.

    Parameters
    ----------
    section : type
        A dataclass whose fields are settings or nested sections.
    values : mapping
        Parsed JSON object.
    path : str
        Path of the object in the file, used in error messages.
    problems : list of SettingProblem or None
        Receives every problem found; if None, the problems are raised instead.

    Raises
    ------
    SettingsError
        If ``problems`` is None and a value is invalid.
    """
    found: list[SettingProblem] = [] if problems is None else problems
    prefix = f"{path}." if path else ""
    hints = get_type_hints(section)
    declared = {f.name: f for f in dataclasses.fields(section)}  # type: ignore[arg-type]
    for name in values:
        if name not in declared:
            allowed = ", ".join(sorted(declared))
            found.append(SettingProblem(prefix + name, "an unknown setting", allowed))
    built: dict[str, Any] = {}
    for name, field in declared.items():
        meta = field.metadata.get(_METADATA_KEY, _SettingMetadata("", "", None, None))
        where = prefix + name
        if name not in values:
            if (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            ):
                found.append(
                    SettingProblem(
                        where, "nothing", _describe_allowed(hints[name], meta)
                    )
                )
            continue
        try:
            value = _convert(hints[name], values[name], where, found)
            if not _in_range(value, meta):
                raise _Reject
        except _Reject:
            shown = repr(values[name])[:80]
            found.append(
                SettingProblem(where, shown, _describe_allowed(hints[name], meta))
            )
            continue
        built[name] = value
    if found:
        if problems is None:
            raise SettingsError("settings", tuple(found))
        return section.__new__(section)
    return section(**built)


def list_settings(section: type[Any], path: str = "") -> list[SettingInfo]:
    """Return every setting of a section and of its nested sections."""
    listed: list[SettingInfo] = []
    hints = get_type_hints(section)
    for field in dataclasses.fields(section):
        where = f"{path}.{field.name}" if path else field.name
        hint = hints[field.name]
        if dataclasses.is_dataclass(hint) and isinstance(hint, type):
            listed += list_settings(hint, where)
            continue
        meta = field.metadata.get(_METADATA_KEY, _SettingMetadata("", "", None, None))
        required = field.default is dataclasses.MISSING
        default = "required" if required else _format_default(field.default)
        listed.append(
            SettingInfo(
                where,
                _type_name(hint),
                meta.unit,
                default,
                _describe_allowed(hint, meta),
                meta.doc,
            )
        )
        listed += _list_item_settings(hint, where)
    return listed


def _list_item_settings(hint: Any, path: str) -> list[SettingInfo]:
    """Return the settings of an item, if the setting is a list of objects."""
    if get_origin(hint) is not tuple:
        return []
    item = get_args(hint)[0]
    if not (dataclasses.is_dataclass(item) and isinstance(item, type)):
        return []
    return list_settings(item, f"{path}[]")


def _format_default(value: Any) -> str:
    return json.dumps(_to_json_value(value))


def _to_json_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_to_json_value(each) for each in value]
    return value
