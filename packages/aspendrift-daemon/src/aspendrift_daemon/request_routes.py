"""HTTP routes for callers: run a request, look up an outcome."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, Final

import msgspec
import structlog
from litestar import Request, Response, get, post
from litestar.exceptions import HTTPException
from litestar.handlers import HTTPRouteHandler
from litestar.response import Stream

from aspendrift_daemon.authentication import AccountAuthenticator
from aspendrift_daemon.outcome_bodies import http_status, outcome_body
from aspendrift_daemon.requests import RequestService
from aspendrift_daemon.streams import CallerStream
from aspendrift_model.accounts import ClientAccount
from aspendrift_model.decode_errors import DECODE_ERRORS
from aspendrift_model.ids import DaemonId, RequestId, Revision
from aspendrift_model.outcomes import Failed, Refused
from aspendrift_model.settings_requests import RequestSettings
from aspendrift_model.states import Ran, RefusalReason
from aspendrift_model.wire_caller import OutcomeBody, RequestBody

__all__ = ["caller_routes", "exception_handlers"]

_JSON: Final = "application/json"
_NDJSON: Final = "application/x-ndjson"
_MS_PER_S: Final = 1000
_REASONS_BY_HTTP_STATUS: Final[Mapping[int, RefusalReason]] = {
    401: RefusalReason.UNAUTHENTICATED,
    403: RefusalReason.FORBIDDEN,
    404: RefusalReason.NOT_FOUND,
    413: RefusalReason.TOO_LARGE,
}
_BODY_DECODER: Final = msgspec.json.Decoder(RequestBody)

_logger = structlog.get_logger("aspendrift.front_door")
_AnyRequest = Request[Any, Any, Any]


class _Rejected(Exception):
    """A request that is refused before it reaches the engine."""

    def __init__(self, body: OutcomeBody) -> None:
        super().__init__(body.detail)
        self.body = body


def caller_routes(
    service: RequestService,
    authenticator: AccountAuthenticator,
    settings: RequestSettings,
) -> list[HTTPRouteHandler]:
    """Return the handlers of ``/v1/requests``."""

    @post(
        "/v1/requests",
        request_max_body_size=settings.max_body_bytes,
        summary="Run a request",
        status_code=200,
    )
    async def run_request(request: _AnyRequest) -> Response[Any]:
        """Run a request; respond with its outcome or stream its tokens."""
        account = _account(authenticator, service, request)
        body = _decode(await request.body())
        if body.stream:
            return await _stream(service, account, body, request, settings)
        run = asyncio.create_task(service.run(account, body))
        async with _CallerWatch(request, run):
            await asyncio.wait({run})
        return _response(_outcome(run, body.request_id))

    @get("/v1/requests/{request_id:str}", summary="Look up an outcome")
    async def look_up(request: _AnyRequest, request_id: str) -> Response[Any]:
        """Return the recorded outcome of a request that may not be repeated."""
        account = _account(authenticator, service, request)
        return _response(await service.look_up(account, RequestId(request_id)))

    return [run_request, look_up]


def exception_handlers() -> dict[int | type[Exception], Callable[..., Any]]:
    """Return the handlers that turn every error into a typed body."""
    return {
        _Rejected: _on_rejected,
        HTTPException: _on_http_error,
        Exception: _on_error,
    }


class _CallerWatch:
    """Cancels a run when its caller closes the connection."""

    def __init__(self, request: _AnyRequest, run: asyncio.Task[OutcomeBody]) -> None:
        self._request = request
        self._run = run
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Watch until the run has ended."""
        self._watch = asyncio.create_task(self._cancel_when_gone())
        self._run.add_done_callback(lambda _: self.stop())

    def stop(self) -> None:
        """Stop watching."""
        if self._watch is not None:
            self._watch.cancel()

    async def __aenter__(self) -> None:
        self.start()

    async def __aexit__(self, *exc_info: object) -> None:
        self._run.cancel()
        self.stop()

    async def _cancel_when_gone(self) -> None:
        while (await self._request.receive())["type"] != "http.disconnect":
            continue
        self._run.cancel()


async def _stream(
    service: RequestService,
    account: ClientAccount,
    body: RequestBody,
    request: _AnyRequest,
    settings: RequestSettings,
) -> Response[Any]:
    """Stream the tokens, or return the plain outcome if the run produces none."""
    sink = CallerStream(settings.stream_buffer_tokens)
    run = asyncio.create_task(service.run(account, body, sink))
    run.add_done_callback(lambda _: sink.updated.set())
    watch = _CallerWatch(request, run)
    watch.start()
    try:
        await sink.updated.wait()
    except asyncio.CancelledError:
        run.cancel()
        raise
    if not sink.has_tokens:
        return _response(_outcome(run, body.request_id))
    return Stream(_lines(sink, run, body.request_id), media_type=_NDJSON)


async def _lines(
    sink: CallerStream, run: asyncio.Task[OutcomeBody], request_id: str
) -> AsyncIterator[bytes]:
    try:
        async for line in sink.lines(run, lambda: _outcome(run, request_id)):
            yield line
    finally:
        sink.close()
        run.cancel()


def _outcome(run: asyncio.Task[OutcomeBody], request_id: str) -> OutcomeBody:
    """Return the outcome of a run, including one that was cancelled."""
    if not run.cancelled():
        return run.result()
    gone = Failed(RefusalReason.CALLER_GONE, Ran.UNKNOWN)
    return _local_body(gone, request_id)


def _account(
    authenticator: AccountAuthenticator, service: RequestService, request: _AnyRequest
) -> ClientAccount:
    account = authenticator.account(request.headers.get("authorization"))
    if account is None:
        raise _Rejected(service.unknown_account())
    return account


def _decode(content: bytes) -> RequestBody:
    try:
        return _BODY_DECODER.decode(content)
    except DECODE_ERRORS as error:
        refusal = Refused(RefusalReason.BAD_REQUEST, str(error))
        raise _Rejected(_local_body(refusal)) from error


def _local_body(outcome: Refused | Failed, request_id: str = "") -> OutcomeBody:
    return outcome_body(
        RequestId(request_id), outcome, daemon_id=DaemonId(""), revision=Revision(0)
    )


def _response(body: OutcomeBody, status: int | None = None) -> Response[bytes]:
    headers = {}
    if body.retry_after_ms is not None:
        headers["retry-after"] = str(-(-body.retry_after_ms // _MS_PER_S))
    if body.reason is RefusalReason.UNAUTHENTICATED:
        headers["www-authenticate"] = "Bearer"
    return Response(
        msgspec.json.encode(body),
        media_type=_JSON,
        status_code=status or http_status(body),
        headers=headers,
    )


def _on_rejected(request: _AnyRequest, error: _Rejected) -> Response[bytes]:
    return _response(error.body)


def _on_http_error(request: _AnyRequest, error: HTTPException) -> Response[bytes]:
    """Map an error of the framework, raised before any run, to a reason."""
    default = (
        RefusalReason.BAD_REQUEST if error.status_code < 500 else RefusalReason.INTERNAL
    )
    reason = _REASONS_BY_HTTP_STATUS.get(error.status_code, default)
    detail = error.detail if error.status_code < 500 else ""
    return _response(_local_body(Refused(reason, detail)), error.status_code)


def _on_error(request: _AnyRequest, error: Exception) -> Response[bytes]:
    """Respond to an internal error without disclosing its details."""
    _logger.error("http_error", path=request.url.path, exc_info=error)
    return _response(_local_body(Failed(RefusalReason.INTERNAL, Ran.UNKNOWN)))
