"""Assembles the components of a daemon, runs it and shuts it down."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar, Final, Protocol

from aspendrift_daemon.address_routes import AddressSelector, address_routes
from aspendrift_daemon.authentication import AccountAuthenticator
from aspendrift_daemon.cache_events import CacheEventReader
from aspendrift_daemon.clock import SystemClock
from aspendrift_daemon.configuration import ConfigurationManager
from aspendrift_daemon.cost import CostRecorder
from aspendrift_daemon.dispatch import DaemonDispatcher
from aspendrift_daemon.embedded_server import listen
from aspendrift_daemon.events import Event, EventHub
from aspendrift_daemon.health_routes import UnreadyReason, health_handlers
from aspendrift_daemon.http_server import HttpServer
from aspendrift_daemon.load_poller import LoadPoller
from aspendrift_daemon.logs import connect_event_log
from aspendrift_daemon.membership import MembershipManager
from aspendrift_daemon.metered_transport import ConnectionMeter
from aspendrift_daemon.metrics import Metrics
from aspendrift_daemon.metrics_routes import metrics_handler
from aspendrift_daemon.operator_access import OperatorAccess
from aspendrift_daemon.operator_answers import OperatorAnswers
from aspendrift_daemon.operator_routes import OperatorContext, operator_routes
from aspendrift_daemon.peers import PeerLink
from aspendrift_daemon.placement import PlacementService
from aspendrift_daemon.placement_routes import placement_handlers
from aspendrift_daemon.platform_clients import (
    list_client,
    membership_list,
    platform_client,
)
from aspendrift_daemon.platform_http import HttpTableService
from aspendrift_daemon.ready_file import write_ready_file
from aspendrift_daemon.request_routes import caller_routes
from aspendrift_daemon.requests import RequestService
from aspendrift_daemon.shutdown import Shutdown
from aspendrift_daemon.target_probes import probe_client
from aspendrift_daemon.target_survey import TargetSurvey
from aspendrift_daemon.targets import TargetClient
from aspendrift_model.hosts import Host, Location
from aspendrift_model.ids import DaemonId, Incarnation, RegionName, ZoneName
from aspendrift_model.settings import DaemonSettings
from aspendrift_model.states import RefusalReason
from aspendrift_policy.leaving import LeaveProcedure, LeaveTimes

__all__ = ["Daemon", "DaemonReady", "serve"]

_MS_PER_S: Final = 1000
_UNREADY_BY_REASON: Final = {
    RefusalReason.LEAVING: UnreadyReason.LEAVING,
    RefusalReason.ISOLATED: UnreadyReason.ISOLATED,
}


@dataclass(frozen=True, slots=True)
class DaemonReady(Event):
    """The daemon accepts connections."""

    name: ClassVar[str] = "daemon_ready"
    daemon_id: DaemonId
    url: str
    peer_endpoint: str


class Component(Protocol):
    """A component of the daemon with background tasks."""

    async def start(self) -> Any:
        """Start the background tasks."""

    async def stop(self) -> Any:
        """Stop the background tasks."""


class Daemon:
    """One daemon with all its components.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    events : EventHub
        Receives the events of all components.
    rng : random.Random
        Source of randomness for jitter and sampling.
    """

    def __init__(
        self, settings: DaemonSettings, events: EventHub, rng: random.Random
    ) -> None:
        self.settings = settings
        self.events = events
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.metrics.connect(events)
        self._socket = listen(settings.http.host, settings.http.port)
        self.host = self._make_host()
        meter = ConnectionMeter(events)
        self._table_client = platform_client(
            settings.platform, settings.platform.table_url, meter
        )
        table = HttpTableService(self._table_client)
        daemon_id = self.host.daemon_id
        peers = settings.peers
        self.link = PeerLink(peers, self.host, self.clock, events, rng)
        self.configuration = ConfigurationManager(
            table, self.link, self.clock, events, rng, peers, daemon_id
        )
        self._list_client = list_client(settings.platform, meter)
        self.membership = MembershipManager(
            self.link,
            membership_list(self._list_client),
            peers,
            self.clock,
            events,
            rng,
            self.configuration,
        )
        self.dispatcher = DaemonDispatcher(
            settings.routing,
            self.host.location,
            self.clock,
            self.configuration,
            self.link,
            events,
            rng,
            daemon_id,
        )
        self.poller = LoadPoller(
            settings.routing,
            self.clock,
            self.configuration,
            lambda: probe_client(meter),
            self.dispatcher,
            rng,
        )
        self.cache_events = CacheEventReader(
            settings.routing,
            self.configuration,
            lambda: probe_client(meter),
            self.dispatcher.hints,
            self.dispatcher,
            rng,
        )
        self.cost = CostRecorder(daemon_id, self.clock, self.configuration, events)
        self.placement = PlacementService(
            settings.routing.placement,
            daemon_id,
            self.clock,
            self.configuration,
            self.link,
            table,
            lambda: probe_client(meter),
            self.dispatcher.model_demand,
            events,
            rng,
            self.cost.set_idle_engines,
        )
        self.addresses = AddressSelector(self.link, peers, rng)
        self.targets = TargetClient(settings.requests, self.clock, meter=meter)
        self.requests = RequestService(
            settings.requests,
            daemon_id,
            self.clock,
            table,
            self.link,
            self.configuration,
            self.dispatcher,
            self.targets,
            events,
            rng,
            self.addresses.urls,
            self.configuration.may_serve,
        )
        self.shutdown = self._make_shutdown()
        self.server = self._make_server()
        self.metrics.gauge(
            "requests.open",
            "1",
            "Requests without an outcome",
            lambda: self.requests.n_open,
        )

    def _components(self) -> tuple[Component, ...]:
        return (
            self.link,
            self.configuration,
            self.membership,
            self.dispatcher,
            self.poller,
            self.cache_events,
            self.placement,
            self.requests,
            self.server,
        )

    def _make_host(self) -> Host:
        settings = self.settings
        port = self._socket.getsockname()[1]
        scheme = "https" if settings.http.tls_certificate_file else "http"
        url_host = settings.http.host
        url_host = f"[{url_host}]" if ":" in url_host else url_host
        return Host(
            DaemonId(settings.daemon_id),
            Incarnation(int(self.clock.unix() * _MS_PER_S)),
            Location(ZoneName(settings.zone), RegionName(settings.region)),
            settings.http.advertise_url or f"{scheme}://{url_host}:{port}",
            settings.peers.bind,
        )

    def _make_shutdown(self) -> Shutdown:
        leaving = self.settings.leaving
        times = LeaveTimes(
            self.settings.peers.address_keep_s, leaving.margin_s, leaving.bound_s
        )
        return Shutdown(
            LeaveProcedure(times),
            self.requests,
            self.membership.begin_leaving,
            self.configuration.begin_leaving,
            self.clock,
            self.events,
        )

    def _make_server(self) -> HttpServer:
        answers = OperatorAnswers(self.configuration, self.link, self.clock)
        survey = TargetSurvey(
            self.link, self.host.daemon_id, self.dispatcher.n_in_flight
        )
        context = OperatorContext(
            self.configuration,
            answers,
            survey,
            OperatorAccess(self.settings.http),
            self.events,
        )
        authenticator = AccountAuthenticator(self.configuration)
        routes = [
            *caller_routes(self.requests, authenticator, self.settings.requests),
            *address_routes(self.addresses),
            *operator_routes(context),
            *placement_handlers(
                self.placement.body, self.cost.body, (context.read_guard,)
            ),
            *health_handlers(self._unready_reasons),
            metrics_handler(self.metrics),
        ]
        return HttpServer(
            self.settings.http,
            self._socket,
            routes,
            self.events,
            self.settings.requests.max_body_bytes,
            self.shutdown.is_leaving,
        )

    def _unready_reasons(self) -> tuple[UnreadyReason, ...]:
        reason = self.configuration.may_serve(self.clock.monotonic())
        if reason is None:
            return ()
        return (_UNREADY_BY_REASON.get(reason, UnreadyReason.NO_CONFIGURATION),)

    async def start(self) -> None:
        """Start every component, then report that the daemon is ready."""
        for component in self._components():
            await component.start()
        host = self.link.host
        if self.settings.ready_file:
            write_ready_file(Path(self.settings.ready_file), host)
        self.events.emit(DaemonReady(host.daemon_id, host.url, host.peer_endpoint))

    async def stop(self) -> None:
        """Stop every component, in reverse order."""
        for component in reversed(self._components()):
            await component.stop()
        await self.targets.close()
        await self._table_client.aclose()
        if self._list_client is not None:
            await self._list_client.aclose()
        self.metrics.close()


async def serve(settings: DaemonSettings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then until its open requests have ended."""
    events = EventHub()
    connect_event_log(events)
    daemon = Daemon(settings, events, random.Random())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.shutdown.handle_signal)
    await daemon.start()
    try:
        await daemon.shutdown.wait()
    finally:
        await daemon.stop()
