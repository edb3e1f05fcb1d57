"""Explains how a request ended, from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from aspendrift_model.decode_errors import DECODE_ERRORS

__all__ = ["Explanation", "LogLine", "explain", "read_lines"]

_REFUSALS: Final[Mapping[str, str]] = {
    "overloaded": "its stages could not be completed in time",
    "no_target": "its pool had no usable target",
    "not_ready": "the daemon had no configuration yet",
    "isolated": "the daemon's configuration was too old to deny its route or key",
    "leaving": "the daemon was leaving",
    "poison": "its content is quarantined because it crashed two targets",
    "unauthenticated": "no account has its key",
    "not_found": "no route matches its host and path",
    "bad_request": "its headers are invalid",
    "too_large": "its body is larger than the configuration allows",
    "caller_gone": "its caller disconnected before the answer",
    "deadline_exceeded": "its deadline passed while a target processed it",
    "target_failed": "its target aborted the answer or gave no valid one",
}
# Refusals that depend on the configuration only.
_DENIALS: Final = frozenset({"unauthenticated", "not_found"})
_TARGET_EVENTS: Final = frozenset({"target_changed"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line with its source, time, event and fields.

    Lines are ordered by ``at``: the time in front of the line if there is one,
    otherwise its timestamp.
    """

    source: str
    at: str
    event: str
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of a request and the cause of its end.

    Parameters
    ----------
    lines : tuple of LogLine
        Lines about the request and its targets, in order.
    cause : str
        Why the request ended as it did, in one line.
    kind : str
        Short name of the cause, for counting.
    is_explained : bool
        Whether the lines show the cause and not only the end.
    n_unreadable : int
        Number of lines that are not structured.
    """

    lines: tuple[LogLine, ...]
    cause: str
    kind: str
    is_explained: bool
    n_unreadable: int


def read_lines(
    texts: Iterable[tuple[str, Iterable[str]]],
) -> tuple[list[LogLine], int]:
    """Read several logs; return their lines and the number of unreadable ones.

    Parameters
    ----------
    texts : iterable of (str, iterable of str)
        Name and lines of each log. Words before the JSON of a line, such as a time
        and a process name, are used as its time and source.
    """
    parsed: list[LogLine] = []
    n_unreadable = 0
    for name, text in texts:
        for line in text:
            parsed_line = _parse_line(name, line)
            if parsed_line is not None:
                parsed.append(parsed_line)
            elif line.strip():
                n_unreadable += 1
    return parsed, n_unreadable


def explain(
    request_id: str, lines: Iterable[LogLine], n_unreadable: int
) -> Explanation:
    """Return the lines about a request and why it ended as it did."""
    all_lines = list(lines)
    own = [line for line in all_lines if _is_about(line, request_id)]
    target_lines = [line for line in all_lines if _is_target_change(line, own)]
    ordered = tuple(sorted([*own, *target_lines], key=lambda line: _sort_key(line.at)))
    cause = _cause(sorted(own, key=lambda line: _sort_key(line.at)), all_lines)
    return Explanation(
        ordered, cause.text, cause.kind, cause.is_explained, n_unreadable
    )


def _parse_line(name: str, line: str) -> LogLine | None:
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(line[begin:].encode())
    except DECODE_ERRORS:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    prefix = line[:begin].split()
    at = prefix[0] if prefix else str(fields.get("timestamp", ""))
    source = prefix[1] if len(prefix) > 1 else name
    rest = {key: value for key, value in fields.items() if key not in _COMMON}
    return LogLine(source, at, str(fields["event"]), rest)


_COMMON: Final = frozenset({"event", "level", "timestamp"})


def _is_about(line: LogLine, request_id: str) -> bool:
    if line.fields.get("request_id") == request_id:
        return True
    listed = line.fields.get("request_ids")
    return isinstance(listed, list) and request_id in listed


def _is_target_change(line: LogLine, own: list[LogLine]) -> bool:
    """Return whether a line reports a state change of one of the request's targets.

    Only lines from daemons of the request, up to its end, count. Added targets are
    left out, since an addition does not explain a failure.
    """
    if line.event not in _TARGET_EVENTS or line.fields.get("change") == "added":
        return False
    if line.source not in {each.source for each in own}:
        return False
    targets = {each.fields.get("target_id") for each in own}
    last = max(_sort_key(each.at) for each in own)
    return line.fields.get("target_id") in targets and _sort_key(line.at) <= last


def _sort_key(at: str) -> tuple[float, str]:
    try:
        return float(at), ""
    except ValueError:
        return 0.0, at


@dataclass(frozen=True, slots=True)
class _Cause:
    text: str
    kind: str
    is_explained: bool = True


def _cause(own: list[LogLine], all_lines: list[LogLine]) -> _Cause:
    if not own:
        text = (
            "no log line names this request; it reached no daemon whose log was given"
        )
        return _Cause(text, "no line", is_explained=False)
    ended = [line for line in own if line.event == "request_ended"]
    if not ended:
        return _cause_without_end(own[-1], all_lines)
    end = ended[-1].fields
    status, reason = end.get("status"), end.get("reason")
    detail = f" ({end['detail']})" if end.get("detail") else ""
    earlier = _earlier_failures(own)
    if reason in _DENIALS:
        version = _configuration_text(ended[-1], all_lines)
        text = f"status {status}: {_REFUSALS[str(reason)]}{version}"
        return _Cause(text, str(reason), is_explained=bool(version))
    if reason is not None:
        meaning = _REFUSALS.get(str(reason), str(reason))
        text = f"status {status}: {meaning}{detail}{earlier}"
        return _Cause(text, str(reason), is_explained=str(reason) in _REFUSALS)
    if detail:
        return _Cause(f"its answer was cut off{detail}{earlier}", "cut")
    return _Cause(f"a target answered with status {status}", "status of a target")


def _cause_without_end(last: LogLine, all_lines: list[LogLine]) -> _Cause:
    """Return why a request has no end: its daemon ended, or the cause is unknown."""
    restarts = [
        line
        for line in all_lines
        if line.source == last.source
        and line.event == "gateway_ready"
        and _sort_key(line.at) > _sort_key(last.at)
    ]
    if restarts:
        text = f"the daemon {last.source} ended during the request and restarted"
        return _Cause(text, "daemon ended")
    after = [line for line in all_lines if _sort_key(line.at) > _sort_key(last.at)]
    if after and not any(line.source == last.source for line in after):
        text = f"the daemon {last.source} ended during the request; no later log line"
        return _Cause(text, "daemon ended")
    text = f"the request has no end, but the daemon {last.source} kept running"
    return _Cause(text, "no end", is_explained=False)


def _configuration_text(end: LogLine, all_lines: list[LogLine]) -> str:
    """Return a text that names the daemon's configuration at the end of a request."""
    applied = [
        line
        for line in all_lines
        if line.event == "configuration_applied"
        and line.source == end.source
        and _sort_key(line.at) <= _sort_key(end.at)
    ]
    if not applied:
        return ""
    newest = max(applied, key=lambda line: _sort_key(line.at))
    return (
        f" in configuration {newest.fields.get('version')}, in force since {newest.at}"
    )


def _earlier_failures(lines: list[LogLine]) -> str:
    """Return a text that lists the failed attempts and stage jobs of a request."""
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
    return f"; earlier failures: {', '.join(failures)}" if failures else ""
