"""HTTP routes for operators, under /v1/admin."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Final

import msgspec
from litestar import Request, Response, get, post
from litestar.connection import ASGIConnection
from litestar.exceptions import HTTPException
from litestar.handlers import HTTPRouteHandler
from litestar.handlers.base import BaseRouteHandler

from aspendrift_daemon.configuration import ConfigurationManager
from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.interfaces import StoreUnavailable
from aspendrift_daemon.operator_access import Operator, OperatorAccess, OperatorDenied
from aspendrift_daemon.operator_answers import OperatorAnswers
from aspendrift_daemon.target_survey import TargetSurvey
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import ChangeId, TargetId
from aspendrift_model.outcomes import REFUSAL_RULES
from aspendrift_model.settings_http import OperatorRole
from aspendrift_model.states import ItemKind, RefusalReason
from aspendrift_model.wire_operator import (
    ChangeAnswer,
    ChangeList,
    ChangeRequest,
    ChangeStatus,
    OperatorRefusal,
)

__all__ = ["ChangeRequested", "OperatorContext", "operator_routes"]

_PREFIX: Final = "/v1/admin"
_MAX_BODY_BYTES: Final = 262_144
_MAX_HISTORY: Final = 500
_STATUS_CODES: Final = {
    ChangeStatus.CONFLICT: 409,
    ChangeStatus.INVALID: 422,
    ChangeStatus.NOT_WRITTEN: 503,
    ChangeStatus.UNKNOWN: 504,
    ChangeStatus.ABSENT: 404,
}
_ROLE_BY_KIND: Final = {
    ItemKind.PROFILE: OperatorRole.PUBLISH,
    ItemKind.ACCOUNT: OperatorRole.PUBLISH,
    ItemKind.TARGET: OperatorRole.DRAIN,
}

AnyRequest = Request[Any, Any, Any]
AnyConnection = ASGIConnection[Any, Any, Any, Any]
Body = Response[bytes]


@dataclass(frozen=True, slots=True)
class ChangeRequested(Event):
    """An operator asked for a change; the audit line of the outcome."""

    name: ClassVar[str] = "change_requested"
    operator: str
    change_id: str
    kind: ItemKind
    item: str
    status: ChangeStatus
    revision: int


class _Refusal(Exception):
    """Raised for a call that is answered with a refusal reason."""

    def __init__(self, reason: RefusalReason, detail: str = "") -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """Dependencies of the operator routes."""

    configuration: ConfigurationManager
    answers: OperatorAnswers
    survey: TargetSurvey
    access: OperatorAccess
    events: EventHub

    def require(self, request: AnyRequest, role: OperatorRole) -> Operator:
        """Return the operator of a request; raises ``OperatorDenied``."""
        return self.access.require(request.headers.get("authorization"), role)

    def read_guard(self, connection: AnyConnection, handler: BaseRouteHandler) -> None:
        """Admit operators that may read; a guard for routes defined elsewhere."""
        authorization = connection.headers.get("authorization")
        try:
            self.access.require(authorization, OperatorRole.READ)
        except OperatorDenied as error:
            raise HTTPException(
                status_code=REFUSAL_RULES[error.reason].http_status
            ) from error


def operator_routes(context: OperatorContext) -> list[HTTPRouteHandler]:
    """Return the handlers for operators."""
    return [
        *_change_routes(context),
        *_item_routes(context),
        *_state_routes(context),
    ]


def _change_routes(context: OperatorContext) -> list[HTTPRouteHandler]:
    @post(f"{_PREFIX}/changes", status_code=200)
    async def make_change(request: AnyRequest) -> Body:
        return await _guarded(lambda: _make_change(context, request))

    @get(f"{_PREFIX}/changes")
    async def list_changes(
        request: AnyRequest, after: int = 0, limit: int = 100
    ) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            return _history(
                await context.configuration.table.history(
                    after, max(1, min(limit, _MAX_HISTORY))
                )
            )

        return await _guarded(answer)

    @get(f"{_PREFIX}/changes/{{change_id:str}}")
    async def show_change(request: AnyRequest, change_id: str) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            outcome = await context.configuration.table.find(ChangeId(change_id))
            return _change_response(context.answers.change(change_id, outcome))

        return await _guarded(answer)

    @post(f"{_PREFIX}/changes/{{change_id:str}}/abandon", status_code=200)
    async def abandon_change(request: AnyRequest, change_id: str) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.PUBLISH)
            outcome = await context.configuration.table.abandon(ChangeId(change_id))
            return _change_response(context.answers.change(change_id, outcome))

        return await _guarded(answer)

    return [make_change, list_changes, show_change, abandon_change]


def _item_routes(context: OperatorContext) -> list[HTTPRouteHandler]:
    @get(f"{_PREFIX}/items/{{kind:str}}")
    async def list_items(request: AnyRequest, kind: str) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            return _response(context.answers.items(_kind(kind)))

        return await _guarded(answer)

    @get(f"{_PREFIX}/items/{{kind:str}}/{{name:str}}")
    async def show_item(request: AnyRequest, kind: str, name: str) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            item = context.answers.item(_kind(kind), name)
            if item is None:
                raise _Refusal(RefusalReason.NOT_FOUND)
            return _response(item)

        return await _guarded(answer)

    @get(f"{_PREFIX}/items/{{kind:str}}/{{name:str}}/history")
    async def item_history(request: AnyRequest, kind: str, name: str) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            return _history(
                await context.configuration.table.item_history(
                    _kind(kind), name, _MAX_HISTORY
                )
            )

        return await _guarded(answer)

    return [list_items, show_item, item_history]


def _state_routes(context: OperatorContext) -> list[HTTPRouteHandler]:
    @get(f"{_PREFIX}/targets/{{target_id:str}}/in-flight")
    async def in_flight(request: AnyRequest, target_id: str) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            return _response(await context.survey.in_flight(TargetId(target_id)))

        return await _guarded(answer)

    @get(f"{_PREFIX}/status")
    async def status(request: AnyRequest) -> Body:
        async def answer() -> Body:
            context.require(request, OperatorRole.READ)
            return _response(context.answers.status())

        return await _guarded(answer)

    return [in_flight, status]


async def _make_change(context: OperatorContext, request: AnyRequest) -> Body:
    context.require(request, OperatorRole.READ)
    change = await _decode_change(request)
    operator = context.require(request, _ROLE_BY_KIND[change.kind])
    outcome = await context.configuration.publish(change, operator.name)
    answer = context.answers.change(change.change_id, outcome)
    event = ChangeRequested(
        operator.name,
        change.change_id,
        change.kind,
        change.name,
        answer.status,
        answer.revision,
    )
    context.events.emit(event)
    return _change_response(answer)


async def _decode_change(request: AnyRequest) -> ChangeRequest:
    content = await request.body()
    if len(content) > _MAX_BODY_BYTES:
        raise _Refusal(RefusalReason.TOO_LARGE)
    try:
        return msgspec.json.decode(content, type=ChangeRequest)
    except DECODE_ERRORS as error:
        raise _Refusal(RefusalReason.BAD_REQUEST, str(error)) from error


async def _guarded(answer: Callable[[], Awaitable[Body]]) -> Body:
    """Return the response of a call, or that of its refusal."""
    try:
        return await answer()
    except OperatorDenied as denied:
        return _refusal(denied.reason)
    except _Refusal as refusal:
        return _refusal(refusal.reason, refusal.detail)


def _kind(text: str) -> ItemKind:
    for kind in ItemKind:
        if kind.value == text:
            return kind
    raise _Refusal(RefusalReason.NOT_FOUND, f"unknown item kind {text!r}")


def _history(answer: tuple[Any, ...] | StoreUnavailable) -> Body:
    if isinstance(answer, StoreUnavailable):
        raise _Refusal(RefusalReason.STORE_UNAVAILABLE, answer.detail)
    return _response(ChangeList(answer))


def _change_response(answer: ChangeAnswer) -> Body:
    return _response(answer, _STATUS_CODES.get(answer.status, 200))


def _refusal(reason: RefusalReason, detail: str = "") -> Body:
    body = OperatorRefusal(reason, detail)
    return _response(body, REFUSAL_RULES[reason].http_status)


def _response(body: msgspec.Struct, status_code: int = 200) -> Body:
    return Response(
        msgspec.json.encode(body),
        media_type="application/json",
        status_code=status_code,
    )
