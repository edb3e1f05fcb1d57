"""Assembles the components of a gateway, runs it and shuts it down."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence
from typing import Any, Final, Protocol

from aspendrift_daemon.clock import SystemClock, suspended_s
from aspendrift_daemon.events import EventHub
from aspendrift_daemon.interfaces import Clock
from aspendrift_daemon.membership import MemberChanged, MembershipManager
from aspendrift_daemon.metered_transport import ConnectionMeter
from aspendrift_daemon.metrics import Metrics
from aspendrift_daemon.peers import PeerLink
from aspendrift_daemon.shutdown import Shutdown
from aspendrift_gateway.attempts import AttemptSender
from aspendrift_gateway.content_crashes import ContentCrashes
from aspendrift_gateway.events import GatewayClosed, GatewayReady, GatewayStopped
from aspendrift_gateway.handover import Handover
from aspendrift_gateway.interfaces import AddressQuery, PlatformCodec
from aspendrift_gateway.link_exchange import LinkExchange
from aspendrift_gateway.load_exchange import LoadExchange
from aspendrift_gateway.member_rows import MemberRows
from aspendrift_gateway.origin_exchange import OriginExchange
from aspendrift_gateway.pace_exchange import PaceExchange
from aspendrift_gateway.peer_state import PeerState
from aspendrift_gateway.permit_exchange import PermitExchange
from aspendrift_gateway.policies import POLICIES_BY_KIND
from aspendrift_gateway.prompt_containment import PromptContainment
from aspendrift_gateway.refusals import Refusal
from aspendrift_gateway.request_path import RequestPath
from aspendrift_gateway.servers import AppServer, ControlApp, RequestApp
from aspendrift_gateway.settings import GatewaySettings
from aspendrift_gateway.settings_watch import SettingsSource, SettingsWatch
from aspendrift_gateway.stage_dispatcher import StageDispatcher
from aspendrift_gateway.stage_run import StagesRunner
from aspendrift_gateway.store_client import StoreClient
from aspendrift_gateway.store_reader import StoreReader
from aspendrift_gateway.system_state import SystemState
from aspendrift_gateway.target_client import TargetClient
from aspendrift_gateway.unreadable_headers import UnreadableHeaders
from aspendrift_model.hosts import Host
from aspendrift_model.ids import Fingerprint, Incarnation, PoolName
from aspendrift_model.opaque_requests import OpaqueRequest
from aspendrift_model.routes import ServerLimits
from aspendrift_model.settings_peers import PeerSettings
from aspendrift_model.states import PeerFeature, RefusalReason
from aspendrift_model.target_entries import TargetEntry
from aspendrift_policy.addresses import stable_choice
from aspendrift_policy.buffer_budget import BufferShares
from aspendrift_policy.leaving import LeavePhase, LeaveProcedure, LeaveTimes
from aspendrift_policy.poison import SuspectTracker
from aspendrift_policy.retry_budget import RetryBudgets, RetryLimit
from aspendrift_policy.stage_times import StageTimeEstimates
from aspendrift_policy.target_registry import RegistryChange, RegistryChangeKind

__all__ = ["Gateway", "serve"]

_MS_PER_S: Final = 1000
# Callers may cache addresses for this long, or for as long as the platform allows if
# that is less.
_ADDRESS_TTL_S: Final = 2.0
_MEMBER_LIST_INTERVAL_S: Final = 10.0
_MAX_ADDRESSES: Final = 64
_METRICS_PATH: Final = "/metrics"
# Share of a target's connections that is used; the margin covers daemons that are
# not in view.
_CONNECTION_SHARE: Final = 0.8
_MIN_CONNECTIONS: Final = 2
# Rows that all daemons together write again in a second, of several hundred writes that
# the store takes.
_ROWS_PER_S: Final = 100.0
# Shares of the process's file descriptors for the connections of callers, and for those
# of each other server; the rest is for targets, the store and peers.
_CALLER_FILES_SHARE: Final = 0.5
_CONTROL_FILES_SHARE: Final = 0.05
# Share of the time to close the servers after which unread answers are cut off.
_UNREAD_SHARE: Final = 0.5
# Features of this build. Work of later stages is not announced yet.
_FEATURES: Final = frozenset(PeerFeature) - {PeerFeature.ANNOUNCEMENTS}
# Changes after which a target's connections can't be used any more.
_ENDED: Final = frozenset({RegistryChangeKind.GONE, RegistryChangeKind.RESTARTED})


class Component(Protocol):
    """A component of the gateway with background tasks."""

    async def start(self) -> Any:
        """Start the background tasks."""

    async def stop(self) -> Any:
        """Stop the background tasks."""


class Gateway:
    """One gateway process with all its components.

    Parameters
    ----------
    codec : PlatformCodec
        Adapter to the platform.
    rng : random.Random
        Source of jitter and of random choices.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        codec: PlatformCodec,
        events: EventHub,
        rng: random.Random,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.events = events
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.metrics.connect(events)
        self.state = SystemState(codec, events)
        meter = ConnectionMeter(events)
        self.buffers = BufferShares.within(settings.memory_bytes)
        self.store = StoreClient(
            settings.store_address, codec.store, meter, buffers=self.buffers.store
        )
        self.unreadable_headers = UnreadableHeaders(events)
        self.client = TargetClient(
            codec.target,
            lambda key: self.peer_state.target_leaving(key),
            on_unreadable=self.unreadable_headers.record,
            buffers=self.buffers.answers,
            meter=meter,
        )
        peers = _peer_settings(settings)
        self.link = PeerLink(
            peers, self._host(), self.clock, events, rng, features=_FEATURES
        )
        self.links = LinkExchange(
            self.link,
            self.state.registry.all_usable,
            lambda entry: self.client.accepts_connections(entry),
            self.clock,
            events,
            rng,
            self._on_links_changed,
        )
        self.client.links = self.links
        self.peer_client = TargetClient(
            codec.target,
            lambda key: None,
            buffers=self.buffers.answers,
            meter=meter,
        )
        self.crashes = ContentCrashes(
            lambda report: self.peer_state.broadcast_completed(report),
            self.clock,
            events,
            rng,
        )
        self.reader = StoreReader(
            self.store,
            self.state,
            lambda: self.settings,
            lambda: self.peer_state.n_readers(),
            self.clock,
            events,
            rng,
        )
        self.containment = PromptContainment(
            self.link,
            self.store,
            lambda: self.peer_state.reader_ids(),
            self.clock,
            events,
            rng,
        )
        self.peer_state = PeerState(
            self.link,
            self.state,
            self.reader,
            lambda: self.settings,
            self.clock,
            events,
            rng,
            suspended_s,
            self.is_serving,
            self.crashes.reported,
            self.crashes.completed_elsewhere,
            self.containment,
        )
        self.rows = MemberRows(self.store, events, rng)
        self.membership = MembershipManager(
            self.link, self.rows, peers, self.clock, events, rng, self.peer_state
        )
        policies = POLICIES_BY_KIND[settings.policies]
        self.admission = policies.admission(rng)
        self.dispatcher = StageDispatcher(
            self.link,
            self.state,
            self.client,
            codec.target,
            self.admission,
            self.clock,
            events,
            policies.scheduler,
            self.links.without_links,
            lambda: _retry_limit(self.settings),
        )
        self.budgets: RetryBudgets[PoolName] = RetryBudgets.within(
            _retry_limit(settings), 1, self.clock.monotonic()
        )
        self.sender = AttemptSender(
            settings.location.zone,
            self.state,
            self.client,
            codec.target,
            self.budgets,
            self.clock,
            events,
            rng,
            self._on_broken,
            policies.chooser,
            self.containment,
        )
        self.paces = PaceExchange(
            self.link,
            self.dispatcher.owner,
            self.sender.avoid,
            self.sender.apply_speeds,
            self.clock,
            events,
            rng,
        )
        self.sender.report_paces(self.paces.record)
        self.loads = LoadExchange(
            self.link,
            self.dispatcher.owner,
            self.sender.apply_loaded,
            self.clock,
            events,
            rng,
        )
        self.sender.report_loads(self.loads.record)
        self.permits = self._make_permits()
        self.origins = OriginExchange(self.link, self.state, self.clock, events)
        self.leaving = LeaveProcedure(LeaveTimes.within(settings.grace_s))
        self.path = RequestPath(
            self.state,
            StagesRunner(
                self.dispatcher,
                StageTimeEstimates(),
                self.admission,
                self.clock,
                events,
                rng,
            ),
            self.sender,
            self.origins,
            Handover(
                self.link,
                self.links,
                self.peer_client,
                codec.caller,
                self.clock,
                events,
                rng,
            ),
            self.admission,
            self.suspects,
            self.containment,
            codec.caller,
            self.clock,
            events,
            self._refuses_new,
            lambda: self.settings.configuration_s,
            self.peer_state.pull,
            self.peer_state.push,
        )
        self.front = self._make_front(codec)
        self.servers = self._make_servers(codec)
        self.shutdown = Shutdown(
            self.leaving,
            self.front,
            self._announce_leaving,
            self.path.begin_draining,
            self.clock,
            events,
        )
        self._connect_listeners()
        self._register_gauges()

    @property
    def suspects(self) -> SuspectTracker:
        """Contents suspected of crashing targets."""
        return self.crashes.suspects

    def is_ready(self) -> bool:
        """Return whether new callers should use this gateway."""
        return self.is_serving() and not self.links.is_lost

    def is_serving(self) -> bool:
        """Return whether this gateway accepts requests."""
        return self.state.is_complete and self.leaving.phase is LeavePhase.SERVING

    async def start(self) -> None:
        """Start every component, then emit that the gateway is ready."""
        await self.link.start()
        self.rows.begin(lambda: self.link.host)
        for component in (*self._components(), *self.servers):
            await component.start()
        host = self.link.host
        self.events.emit(
            GatewayReady(
                host.daemon_id,
                host.incarnation,
                self.settings.front_address,
                self.state.configuration_version,
                host.capacity.cores,
                host.capacity.link_bits_per_s,
            )
        )

    async def stop(self) -> None:
        """End open requests; stop the servers, then everything else, in limited time.

        The platform kills a process that takes longer than its grace period.
        """
        began_at = self.clock.monotonic()
        counts = self.path.open_counts()
        self.events.emit(
            GatewayStopped(
                self.settings.daemon_id,
                self.front.n_open,
                self.front.n_receiving,
                counts.n_unsent,
                counts.n_sent,
                counts.n_begun,
                counts.n_answered,
                self.leaving.elapsed_s(began_at),
            )
        )
        self.front.end_open()
        self.crashes.stop()
        close_s, cleanup_s = self.leaving.closing_s()
        loop = asyncio.get_running_loop()
        ending = loop.call_later(close_s * _UNREAD_SHARE, self.path.end_answers)
        # Concurrently, since each server waits for its open connections.
        await asyncio.gather(*(server.stop(close_s) for server in self.servers))
        ending.cancel()
        n_open = self.front.n_open
        unfinished = await self._clean_up(cleanup_s)
        now = self.clock.monotonic()
        self.events.emit(
            GatewayClosed(
                self.settings.daemon_id,
                n_open,
                unfinished,
                now - began_at,
                self.leaving.elapsed_s(now),
            )
        )
        self.metrics.close()

    async def _clean_up(self, within_s: float) -> str:
        """Stop all but the servers; return the name of what didn't end in time."""
        name = ""
        try:
            async with asyncio.timeout(within_s):
                for component in reversed(self._components()):
                    name = type(component).__name__
                    await component.stop()
                for closing in (
                    self.rows.stop,
                    self.link.stop,
                    self.client.close,
                    self.peer_client.close,
                    self.store.close,
                ):
                    name = closing.__qualname__
                    await closing()
        except TimeoutError:
            return name
        return ""

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed limits and times; addresses remain those of the start."""
        self.settings = settings
        self.leaving.change_times(LeaveTimes.within(settings.grace_s))
        self._share_limits()

    def addresses(self, query: AddressQuery) -> Sequence[str]:
        """Return the addresses of daemons that accept requests and reach targets."""
        excluded = set(self.links.without_links(self.clock.monotonic()))
        if not self.is_serving():
            excluded.add(self.settings.daemon_id)
        members = [
            each
            for each in self.link.view.members()
            if each.host.daemon_id not in excluded
        ]
        chosen = stable_choice(members, query.zone, _MAX_ADDRESSES)
        return [member.host.url for member in chosen]

    def _connect_listeners(self) -> None:
        self.sender.report_origins(self.origins.began)
        self.sender.limit_starts(self.leaving.last_start_at)
        self.state.on_change(self._on_state_change)
        self.state.on_era(self._on_store_era)
        self.events.connect(MemberChanged, lambda _: self._share_limits())

    def _register_gauges(self) -> None:
        self.metrics.gauge(
            "requests.open", "1", "Requests without an answer", lambda: self.path.n_open
        )
        self.metrics.gauge(
            "zones.evacuated",
            "1",
            "Availability zones whose targets are sent nothing",
            lambda: len(self.state.evacuations.zones),
        )
        self.metrics.gauge(
            "zones.evacuated_time",
            "s",
            "Time for which the zone evacuated first has been so; 0 without any",
            lambda: self.state.evacuations.longest_s(self.clock.monotonic()),
        )
        self.metrics.gauge(
            "prompts.quarantines",
            "1",
            "Quarantines of prompts held",
            lambda: self.containment.n_quarantines,
        )
        self.metrics.gauge(
            "streams.origins",
            "1",
            "Origins of streams held",
            lambda: self.origins.n_held,
        )
        self.metrics.gauge(
            "store.calls", "1", "Calls to the store", lambda: self.store.n_calls
        )
        self.metrics.gauge(
            "targets.loaded",
            "1",
            "Targets that get no new work since they are loaded",
            self.loads.n_listed,
        )
        self.metrics.gauge(
            "targets.unreadable_headers",
            "1",
            "Answers of targets with a header that could not be decoded",
            lambda: self.unreadable_headers.n_answers,
        )
        self.metrics.gauge(
            "loop.lag",
            "s",
            "Longest delay of the event loop in the last second",
            self.dispatcher.loop_lag_s,
        )
        self.metrics.gauge(
            "answers.unread",
            "1",
            "Answers that wait for their callers to read",
            lambda: self.buffers.unread.n_waiting,
        )
        self.metrics.gauge(
            "requests.buffered",
            "By",
            "Bodies of requests that are received or served",
            lambda: self.buffers.requests.n_bytes,
        )

    def _make_permits(self) -> PermitExchange:
        """Return the exchange of permits, used by all that sends to targets."""
        permits = PermitExchange(
            self.link,
            self.state,
            lambda: self.settings,
            self.clock,
            self.events,
            self.state.returned_at,
            lambda: self.link.live_ids_supporting(PeerFeature.PERMITS),
        )
        self.client.on_head = permits.record_answer
        self.sender.require_permits(permits)
        self.dispatcher.require_permits(permits)
        rates = permits.rates
        for name, description, observe in (
            ("limited", "Targets that need permits", lambda: permits.n_limited),
            ("held", "Permits of own targets in use", lambda: rates.n_held),
            ("issued", "Permits issued since the start", lambda: rates.n_issued),
            ("denied", "Permits denied since the start", lambda: rates.n_denied),
            ("returned", "Permits returned since the start", lambda: rates.n_returned),
        ):
            self.metrics.gauge(f"permits.{name}", "1", description, observe)
        return permits

    def _components(self) -> tuple[Component, ...]:
        return (
            self.reader,
            self.peer_state,
            self.membership,
            self.links,
            self.dispatcher,
            self.paces,
            self.loads,
            self.permits,
            self.containment,
        )

    def _host(self) -> Host:
        settings = self.settings
        return Host(
            settings.daemon_id,
            Incarnation(int(self.clock.unix() * _MS_PER_S)),
            settings.location,
            settings.front_address,
            f"tcp://{settings.ip}:{settings.peer_ports[0]}",
            capacity=settings.capacity,
        )

    def _make_front(self, codec: PlatformCodec) -> RequestApp:
        return RequestApp(
            self.path,
            codec.caller,
            self._limits,
            lambda: self.leaving.phase is not LeavePhase.SERVING,
            self.buffers,
        )

    def _make_servers(self, codec: PlatformCodec) -> list[AppServer]:
        settings = self.settings
        control = ControlApp(
            codec.caller,
            self.is_ready,
            self.addresses,
            min(_ADDRESS_TTL_S, settings.address_keep_s),
            self.metrics.exposition,
            _METRICS_PATH,
        )
        share_by_address = {
            settings.ready_address: _CONTROL_FILES_SHARE,
            settings.directory_address: _CONTROL_FILES_SHARE,
            f"{settings.ip}:{settings.metrics_port}": _CONTROL_FILES_SHARE,
            settings.front_address: _CALLER_FILES_SHARE,
        }
        return [
            AppServer(
                address,
                self.front if address == settings.front_address else control,
                ServerLimits(),
                int(settings.max_files * share),
            )
            for address, share in share_by_address.items()
        ]

    def _limits(self) -> ServerLimits:
        table = self.state.table
        return ServerLimits() if table is None else table.configuration.limits

    def _announce_leaving(self) -> None:
        self.membership.begin_leaving()
        self.rows.begin_removal(self.link.host)

    def _refuses_new(self, request: OpaqueRequest, now: float) -> Refusal | None:
        if self.leaving.accepts(now):
            return None
        return Refusal(RefusalReason.LEAVING, "", 0.0)

    def _on_state_change(self, changes: list[RegistryChange]) -> None:
        if not changes:
            limits = self._limits()
            for server in self.servers:
                server.set_idle_timeout(limits.idle_timeout_s)
        self._share_limits()
        for change in changes:
            if change.kind in _ENDED:
                self.client.evict(change.target_id)
        self.dispatcher.targets_changed()

    def _on_store_era(self, era: int) -> None:
        """Write again what the store may have lost, spread over all daemons."""
        within_s = max(1.0, len(self.link.members()) / _ROWS_PER_S)
        self.rows.begin_again(lambda: self.link.host, within_s)
        self.containment.store_restored()

    def _on_links_changed(self) -> None:
        if not self.links.is_lost:
            self.sender.forget_failures()

    def _share_limits(self) -> None:
        """Divide the limits that all daemons share by the number of daemons in view."""
        table = self.state.table
        n_daemons = max(1, len(self.link.members()))
        if table is not None:
            caps = [
                spec.max_connections
                for spec in table.configuration.pools_by_name.values()
            ]
            cap = min(caps, default=_MIN_CONNECTIONS)
            share = int(cap * _CONNECTION_SHARE / n_daemons)
            self.client.connections_per_target = max(_MIN_CONNECTIONS, share)
        self.budgets.divide(_retry_limit(self.settings), n_daemons)

    def _on_broken(self, entry: TargetEntry, fingerprint: Fingerprint) -> None:
        """Suspect a content whose target broke, at this daemon and all others."""
        if self.links.is_lost:
            return
        self.peer_state.broadcast_crash(self.crashes.report(entry.key, fingerprint))


def _retry_limit(settings: GatewaySettings) -> RetryLimit:
    return RetryLimit(
        settings.retry_share, settings.retry_extra, settings.retry_window_s
    )


def _peer_settings(settings: GatewaySettings) -> PeerSettings:
    return PeerSettings(
        bind=f"tcp://{settings.ip}:{settings.peer_ports[0]}",
        allow_plaintext=True,
        list_interval_s=_MEMBER_LIST_INTERVAL_S,
    )


async def serve(source: SettingsSource, codec: PlatformCodec, events: EventHub) -> None:
    """Run a gateway until SIGTERM or SIGINT and the end of its requests."""
    watch = SettingsWatch(source, events)
    gateway = Gateway(source.read(), codec, events, random.Random())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.shutdown.handle_signal)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await gateway.start()
    watch.start(gateway.apply_settings)
    try:
        await gateway.shutdown.wait()
    finally:
        await watch.stop()
        await gateway.stop()
