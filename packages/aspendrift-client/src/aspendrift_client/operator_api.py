"""HTTP client for the operator API of the daemons."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

import httpx
import msgspec

from aspendrift_client.errors import RefusedByDaemon, Unreached
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import ChangeId
from aspendrift_model.states import ItemKind, RefusalReason
from aspendrift_model.wire_operator import (
    ChangeAnswer,
    ChangeList,
    ChangeRequest,
    ChangeStatus,
    InFlightBody,
    ItemBody,
    ItemList,
    OperatorRefusal,
    StatusBody,
)

__all__ = ["CallRefused", "NoDaemonAnswered", "OperatorApi", "new_change_id"]

_POLL_INTERVAL_S: Final = 0.25
_T = TypeVar("_T")


class NoDaemonAnswered(Unreached):
    """No daemon answered; a change that was sent may have been made."""

    def __init__(self, failures: Sequence[str]) -> None:
        super().__init__("no daemon answered: " + "; ".join(failures))
        self.failures = tuple(failures)


class CallRefused(RefusedByDaemon):
    """A daemon refused a call."""

    def __init__(self, reason: RefusalReason, detail: str) -> None:
        super().__init__(f"refused: {reason.value} {detail}".strip())
        self.reason = reason
        self.detail = detail


def new_change_id() -> ChangeId:
    """Return a new, globally unique change id."""
    return ChangeId(uuid.uuid4().hex)


class OperatorApi:
    """Sends each call to the first daemon that answers.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of daemons, tried in order.
    token : str
        Bearer token; empty if the daemons require none.
    client : httpx.Client
        HTTP client with the timeouts and certificates to use.
    """

    def __init__(self, urls: Sequence[str], token: str, client: httpx.Client) -> None:
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._headers = {"authorization": f"Bearer {token}"} if token else {}
        self._client = client

    def make_change(self, change: ChangeRequest) -> ChangeAnswer:
        """Submit a change; safe to repeat with the same change id."""
        content = msgspec.json.encode(change)
        return self._call("POST", "/v1/admin/changes", ChangeAnswer, content)

    def find_change(self, change_id: str) -> ChangeAnswer:
        """Return the status of a change."""
        return self._call("GET", f"/v1/admin/changes/{change_id}", ChangeAnswer)

    def abandon_change(self, change_id: str) -> ChangeAnswer:
        """Make sure that a change never takes effect, unless it already has."""
        path = f"/v1/admin/changes/{change_id}/abandon"
        return self._call("POST", path, ChangeAnswer)

    def list_changes(self, after: int, limit: int) -> ChangeList:
        """Return recorded changes, oldest first."""
        path = f"/v1/admin/changes?after={after}&limit={limit}"
        return self._call("GET", path, ChangeList)

    def list_items(self, kind: ItemKind) -> ItemList:
        """Return the items of a kind."""
        return self._call("GET", f"/v1/admin/items/{kind.value}", ItemList)

    def find_item(self, kind: ItemKind, name: str) -> ItemBody | None:
        """Return one item, or None if there is none."""
        try:
            return self._call("GET", f"/v1/admin/items/{kind.value}/{name}", ItemBody)
        except CallRefused as refusal:
            if refusal.reason is RefusalReason.NOT_FOUND:
                return None
            raise

    def item_history(self, kind: ItemKind, name: str) -> ChangeList:
        """Return the changes of one item, oldest first."""
        path = f"/v1/admin/items/{kind.value}/{name}/history"
        return self._call("GET", path, ChangeList)

    def in_flight(self, target_id: str) -> InFlightBody:
        """Return the work in flight on a target across the daemons."""
        path = f"/v1/admin/targets/{target_id}/in-flight"
        return self._call("GET", path, InFlightBody)

    def status(self) -> StatusBody:
        """Return the status of all daemons as seen by one of them."""
        return self._call("GET", "/v1/admin/status", StatusBody)

    def wait_in_force(
        self, change_id: str, timeout_s: float, report: Callable[[ChangeAnswer], None]
    ) -> ChangeAnswer:
        """Poll until a change is in force everywhere or the timeout has passed."""
        deadline = time.monotonic() + timeout_s
        while True:
            answer = self.find_change(change_id)
            report(answer)
            has_timed_out = time.monotonic() >= deadline
            if answer.status is ChangeStatus.IN_FORCE or has_timed_out:
                return answer
            time.sleep(_POLL_INTERVAL_S)

    def _call(
        self, method: str, path: str, kind: type[_T], content: bytes | None = None
    ) -> _T:
        failures: list[str] = []
        for url in self._urls:
            try:
                response = self._client.request(
                    method, url + path, content=content, headers=self._headers
                )
            except httpx.HTTPError as error:
                failures.append(f"{url}: {type(error).__name__}")
                continue
            answer = _decode(response, kind)
            if answer is not None:
                return answer
            failures.append(f"{url}: status {response.status_code}")
        raise NoDaemonAnswered(failures)


def _decode(response: httpx.Response, kind: type[_T]) -> _T | None:
    try:
        return msgspec.json.decode(response.content, type=kind)
    except DECODE_ERRORS:
        pass
    try:
        refusal = msgspec.json.decode(response.content, type=OperatorRefusal)
    except DECODE_ERRORS:
        return None
    raise CallRefused(refusal.reason, refusal.detail)
