"""Explains how a request ended, from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from aspendrift_model.unreadable import UNREADABLE

__all__ = ["Explanation", "LogLine", "explain", "read_lines"]

_REFUSALS: Final[Mapping[str, str]] = {
    "overloaded": "its stages could not be made in time",
    "no_target": "its pool had no target to use",
    "not_ready": "the daemon had no configuration yet",
    "isolated": "the daemon's knowledge was too old to deny what it doesn't know",
    "leaving": "the daemon was leaving",
    "poison": "its content broke two targets",
    "unauthenticated": "no account holds its key",
    "not_found": "no route fits its host and path",
    "bad_request": "its headers could not be read",
    "too_large": "its body is larger than the configuration allows",
    "caller_gone": "its caller left before the answer",
    "deadline_exceeded": "its time was over while a target worked on it",
    "target_failed": "its target broke off or gave no usable answer",
}
# Reasons that come from the configuration alone.
_DENIALS: Final = frozenset({"unauthenticated", "not_found"})
_TARGET_EVENTS: Final = frozenset({"target_changed"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line: where it came from, when, and what it says.

    ``at`` orders lines; it is the time in front of the line if there is one, else
    its time stamp.
    """

    source: str
    at: str
    event: str
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs say of a request.

    Parameters
    ----------
    lines : tuple of LogLine
        Lines that touched it, in order.
    cause : str
        Why it ended as it did, in one line.
    kind : str
        The cause in a word or two, to count by.
    is_explained : bool
        Whether the lines show the cause, not only the end.
    n_unreadable : int
        Lines that are no structured lines.
    """

    lines: tuple[LogLine, ...]
    cause: str
    kind: str
    is_explained: bool
    n_unreadable: int


def read_lines(
    texts: Iterable[tuple[str, Iterable[str]]],
) -> tuple[list[LogLine], int]:
    """Read the lines of several logs; return them and how many can't be read.

    Parameters
    ----------
    texts : iterable of (str, iterable of str)
        Name and lines of each log. Words before a line's JSON, such as a time and
        the name of a process, are kept as its time and source.
    """
    found: list[LogLine] = []
    n_unreadable = 0
    for name, text in texts:
        for line in text:
            read = _read(name, line)
            if read is not None:
                found.append(read)
            elif line.strip():
                n_unreadable += 1
    return found, n_unreadable


def explain(
    request_id: str, lines: Iterable[LogLine], n_unreadable: int
) -> Explanation:
    """Return the lines that touched a request, and why it ended as it did."""
    known = list(lines)
    own = [line for line in known if _touches(line, request_id)]
    beside = [line for line in known if _explains(line, own)]
    ordered = tuple(sorted([*own, *beside], key=lambda line: _order(line.at)))
    cause = _cause(sorted(own, key=lambda line: _order(line.at)), known)
    return Explanation(
        ordered, cause.text, cause.kind, cause.is_explained, n_unreadable
    )


def _read(name: str, line: str) -> LogLine | None:
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(line[begin:].encode())
    except UNREADABLE:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    before = line[:begin].split()
    at = before[0] if before else str(fields.get("timestamp", ""))
    source = before[1] if len(before) > 1 else name
    rest = {key: value for key, value in fields.items() if key not in _COMMON}
    return LogLine(source, at, str(fields["event"]), rest)


_COMMON: Final = frozenset({"event", "level", "timestamp"})


def _touches(line: LogLine, request_id: str) -> bool:
    if line.fields.get("request_id") == request_id:
        return True
    listed = line.fields.get("request_ids")
    return isinstance(listed, list) and request_id in listed


def _explains(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether a line says what a daemon of the request learned of its target.

    Entries of targets that are merely there say nothing about a failure.
    """
    if line.event not in _TARGET_EVENTS or line.fields.get("change") == "added":
        return False
    if line.source not in {each.source for each in own}:
        return False
    targets = {each.fields.get("target_id") for each in own}
    last = max(_order(each.at) for each in own)
    return line.fields.get("target_id") in targets and _order(line.at) <= last


def _order(at: str) -> tuple[float, str]:
    try:
        return float(at), ""
    except ValueError:
        return 0.0, at


@dataclass(frozen=True, slots=True)
class _Cause:
    text: str
    kind: str
    is_explained: bool = True


def _cause(own: list[LogLine], known: list[LogLine]) -> _Cause:
    if not own:
        text = "no line names this request; it reached no daemon whose log is here"
        return _Cause(text, "no line", is_explained=False)
    ended = [line for line in own if line.event == "request_ended"]
    if not ended:
        return _cause_without_end(own[-1], known)
    end = ended[-1].fields
    status, reason = end.get("status"), end.get("reason")
    detail = f" ({end['detail']})" if end.get("detail") else ""
    before = _last_failures(own)
    if reason in _DENIALS:
        version = _configuration_of(ended[-1], known)
        text = f"status {status}: {_REFUSALS[str(reason)]}{version}"
        return _Cause(text, str(reason), is_explained=bool(version))
    if reason is not None:
        said = _REFUSALS.get(str(reason), str(reason))
        text = f"status {status}: {said}{detail}{before}"
        return _Cause(text, str(reason), is_explained=str(reason) in _REFUSALS)
    if detail:
        return _Cause(f"its answer was cut{detail}{before}", "cut")
    return _Cause(f"a target answered with status {status}", "status of a target")


def _cause_without_end(last: LogLine, known: list[LogLine]) -> _Cause:
    """Return why a request has no end: its daemon ended, or nothing shows why."""
    begun = [
        line
        for line in known
        if line.source == last.source
        and line.event == "gateway_ready"
        and _order(line.at) > _order(last.at)
    ]
    if begun:
        text = f"the daemon {last.source} ended while it was open, and began again"
        return _Cause(text, "daemon ended")
    after = [line for line in known if _order(line.at) > _order(last.at)]
    if after and not any(line.source == last.source for line in after):
        text = f"the daemon {last.source} ended while it was open; it has no later line"
        return _Cause(text, "daemon ended")
    text = f"it has no end, and the daemon {last.source} went on"
    return _Cause(text, "no end", is_explained=False)


def _configuration_of(end: LogLine, known: list[LogLine]) -> str:
    """Return which configuration a daemon had at the end of a request."""
    applied = [
        line
        for line in known
        if line.event == "configuration_applied"
        and line.source == end.source
        and _order(line.at) <= _order(end.at)
    ]
    if not applied:
        return ""
    newest = max(applied, key=lambda line: _order(line.at))
    return (
        f" in configuration {newest.fields.get('version')}, in force since {newest.at}"
    )


def _last_failures(lines: list[LogLine]) -> str:
    """Return how its sends and stages failed, in a few words."""
    failures = [
        f"{line.fields.get('target_id')}: {line.fields.get('verdict')}"
        for line in lines
        if line.event == "attempt_ended"
        and line.fields.get("verdict") not in ("answered", "cancelled")
    ]
    failures += [
        f"stage {line.fields.get('stage')}: {line.fields.get('failure')}"
        for line in lines
        if line.event == "stage_job_ended" and line.fields.get("failure")
    ]
    return f"; before: {', '.join(failures)}" if failures else ""
