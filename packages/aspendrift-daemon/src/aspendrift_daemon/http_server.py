"""The HTTP server of the daemon: socket, application, limits and TLS."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar, Final

import uvicorn
from litestar import Litestar
from litestar.handlers import HTTPRouteHandler
from litestar.openapi import OpenAPIConfig

from aspendrift_daemon.connection_close import CloseWhenLeaving
from aspendrift_daemon.embedded_server import EmbeddedServer
from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.limits import (
    BodyLimits,
    ConnectionLimits,
    limited_protocol,
)
from aspendrift_daemon.request_routes import exception_handlers
from aspendrift_daemon.tls import (
    CertificateInvalid,
    CertificateReloaded,
    ReloadResult,
    ServerTls,
    watch_certificate,
)
from aspendrift_model.settings_http import HttpSettings

__all__ = ["CertificateChanged", "HttpServer"]

_CLOSE_TIMEOUT_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class CertificateChanged(Event):
    """The certificate files changed; ``problem`` tells why they can't be used."""

    name: ClassVar[str] = "certificate_changed"
    problem: str


class HttpServer:
    """Serves the routes on one socket.

    Parameters
    ----------
    sock : socket.socket
        Socket from :func:`listen`.
    max_body_bytes : int
        Largest request body.
    is_leaving : callable
        Returns whether the daemon is leaving.
    """

    def __init__(
        self,
        settings: HttpSettings,
        sock: socket.socket,
        routes: Sequence[HTTPRouteHandler],
        events: EventHub,
        max_body_bytes: int,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._socket = sock
        self._events = events
        self._tls = _server_tls(settings)
        app = Litestar(
            list(routes),
            exception_handlers=exception_handlers(),
            openapi_config=OpenAPIConfig(title="aspendrift", version="1"),
            logging_config=None,
            debug=False,
        )
        config = uvicorn.Config(
            CloseWhenLeaving(
                BodyLimits(app, max_body_bytes, settings.body_timeout_s), is_leaving
            ),
            loop="asyncio",
            http=limited_protocol(ConnectionLimits.from_settings(settings)),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            h11_max_incomplete_event_size=settings.max_header_bytes,
        )
        config.load()
        if self._tls is not None:
            config.ssl = self._tls.context
        self._server = EmbeddedServer(config, _CLOSE_TIMEOUT_S)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start accepting connections; return once the server is up."""
        serving = asyncio.create_task(self._server.serve([self._socket]))
        self._tasks.append(serving)
        await self._server.is_up.wait()
        if self._tls is not None:
            watch = watch_certificate(
                self._tls, self._settings.rotation_check_s, self._emit_reload
            )
            self._tasks.append(asyncio.create_task(watch))

    async def stop(self) -> None:
        """Close the socket, and the connections after a short grace period."""
        self._server.begin_exit()
        if self._tasks:
            await asyncio.gather(self._tasks[0], return_exceptions=True)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _emit_reload(self, result: ReloadResult) -> None:
        if isinstance(result, CertificateInvalid):
            self._events.emit(CertificateChanged(result.detail))
        elif isinstance(result, CertificateReloaded):
            self._events.emit(CertificateChanged(""))


def _server_tls(settings: HttpSettings) -> ServerTls | None:
    if not settings.tls_certificate_file:
        return None
    tls = ServerTls(Path(settings.tls_certificate_file), Path(settings.tls_key_file))
    tls.reload()
    return tls
