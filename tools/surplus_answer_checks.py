"""Checks of what callers got against what targets ran, for surplus answers."""

from __future__ import annotations

import json
from collections import defaultdict
from pathlib import Path
from typing import Any, Final

from surplus_answers import Records, Request, Run

_RUNS_ONCE: Final = frozenset({"once", "model"})
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


def attempts_by_request(logs: list[Path]) -> dict[str, list[dict[str, Any]]]:
    """Return the attempts that the gateways logged."""
    found: defaultdict[str, list[dict[str, Any]]] = defaultdict(list)
    for log in logs:
        for line in log.read_bytes().splitlines():
            if b"attempt_ended" not in line:
                continue
            try:
                event = json.loads(line)
            except ValueError:
                # The last line of a killed process.
                continue
            if event.get("event") == "attempt_ended":
                found[event["request_id"]].append(event)
    return found


class Check:
    """Compares what a caller got with what targets ran."""

    def __init__(
        self, records: Records, request: Request, attempts: list[dict[str, Any]]
    ) -> None:
        self.records = records
        self.request = request
        self.attempts = attempts
        self.received = records.received[request.id]
        self.runs = records.runs.get(request.id, [])
        signature = self.received.headers.get("response-signature", "")
        self.run = records.runs_by_signature.get(signature)

    def check(self) -> None:
        """Check the answer and the runs, and count the attempts."""
        kind, status = self.request.kind, self.received.status
        self.records.counts[f"{kind} -> {status}"] += 1
        if 200 <= status < 300:
            self._check_success()
        elif self.run is not None and (
            self.run.request_id != self.request.id or self.run.status != status
        ):
            self._breach("MIXED failure")
        if kind in _RUNS_ONCE and len(self.runs) > 1:
            self._breach("TWICE")
        if status in _NOT_RUN_STATUSES and self.runs:
            if kind in _RUNS_ONCE:
                self._breach("REFUSED")
            else:
                self.records.counts["safe refused that ran"] += 1
        for attempt in self.attempts:
            self.records.counts[f"verdict {attempt['verdict']}"] += 1
            if attempt["verdict"] == "foreign":
                self._count_foreign(attempt["target_id"])

    def _check_success(self) -> None:
        found, run = self.received, self.run
        if run is None:
            self._breach("MIXED unsigned success")
        elif run.request_id != self.request.id:
            self._breach("MIXED answer of another")
        elif run.status != found.status:
            self._breach("MIXED success where the target failed")
        elif found.is_whole and run.body != found.body:
            self._breach("MIXED body", f"{len(found.body)} bytes, sent {len(run.body)}")
        if found.headers.get("attempt-id") not in (None, self.request.id):
            self._breach("MIXED id")

    def _count_foreign(self, target: str) -> None:
        """Count answers of targets that were not read behind surplus ones."""
        kind, status = self.request.kind, self.received.status
        counts = self.records.counts
        own: Run | None = next((r for r in self.runs if r.target == target), None)
        counts[f"{kind} with a foreign answer"] += 1
        unread = own.status if own is not None and own.is_written else None
        if kind not in _RUNS_ONCE:
            if unread not in (None, status):
                counts[f"{kind} got {status}, a target's {unread} unread"] += 1
        elif status in (502, 504):
            cause = "no answer followed" if unread is None else "its target answered"
            counts[f"{kind} lost with {status}, {cause}"] += 1

    def _breach(self, rule: str, detail: str = "") -> None:
        runs = [(each.target, each.status) for each in self.runs]
        attempts = [
            (each["target_id"], each["verdict"], each["status"], each["detail"])
            for each in self.attempts
        ]
        text = (
            f"{self.request.kind} {self.request.id}: status {self.received.status},"
            f" signature {self.received.headers.get('response-signature')},"
            f" runs {runs}, attempts {attempts} {detail}"
        )
        self.records.breaches.append((rule, text.rstrip()))
