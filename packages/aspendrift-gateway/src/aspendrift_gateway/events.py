"""Events of the gateway; each is a log line, a counter and duration histograms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from aspendrift_daemon.events import Event
from aspendrift_model.states import RefusalReason
from aspendrift_policy.stream_origins import OriginSource
from aspendrift_policy.target_registry import RegistryChangeKind

__all__ = [
    "AttemptEnded",
    "AttemptSent",
    "AttemptVerdict",
    "ConfigurationApplied",
    "ConfigurationRejected",
    "ContentCleared",
    "Dependency",
    "DependencyChanged",
    "FeedMissedChange",
    "GatewayClosed",
    "GatewayReady",
    "GatewayStopped",
    "HandoverEnded",
    "LinksChanged",
    "LoadedTargetsChanged",
    "PeerLinksChanged",
    "PermitDenial",
    "PermitRefused",
    "PromptQuarantined",
    "QuarantineLifted",
    "QuarantineSource",
    "RequestDenied",
    "RequestEnded",
    "RequestHandedOver",
    "RequestRouted",
    "SettingsReloaded",
    "SlowTargetsChanged",
    "StageCallEnded",
    "StageCallSent",
    "StageFreeFailed",
    "StagePoolRationed",
    "StagePoolState",
    "StageJobEnded",
    "StageJobSent",
    "StateSourceChanged",
    "StoreEraChanged",
    "StreamOriginSought",
    "TargetBacksOff",
    "TargetBroke",
    "TargetChanged",
    "ZoneEvacuated",
    "ZoneReturned",
    "TargetHeaderUnreadable",
    "TargetLimited",
    "TargetSpeedsChanged",
]


class Dependency(Enum):
    """A service that the gateway depends on."""

    STORE_CONFIGURATION = "store_configuration"
    STORE_TARGETS = "store_targets"
    STORE_MEMBERS = "store_members"
    STORE_QUARANTINES = "store_quarantines"


class AttemptVerdict(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    FAILED_BY_TARGET = "failed_by_target"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    FOREIGN = "foreign"
    SPOILED = "spoiled"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class QuarantineSource(Enum):
    """Where a daemon learned of a quarantine."""

    CRASHES = "crashes"
    COMPLETIONS = "completions"
    PEER = "peer"
    STORE = "store"


class PermitDenial(Enum):
    """Why a daemon has no permit for a request to a limited target."""

    NONE_LEFT = "none_left"
    NO_ANSWER = "no_answer"
    NO_OWNER = "no_owner"
    EXPIRED = "expired"
    BACKS_OFF = "backs_off"


@dataclass(frozen=True, slots=True)
class GatewayReady(Event):
    """The gateway accepts requests; ``cores`` and link are those of its host."""

    name: ClassVar[str] = "gateway_ready"
    daemon_id: str
    incarnation: int
    front_address: str
    configuration_version: int
    cores: float
    link_bits_per_s: float


@dataclass(frozen=True, slots=True)
class GatewayStopped(Event):
    """The gateway ends its open requests, ``leaving_s`` after the signal.

    ``n_receiving`` have an incomplete body, ``n_unsent`` were not run by a target,
    ``n_sent`` may run, ``n_begun`` have a part of their answer, and ``n_answered`` all
    of it but for what their callers have not read.
    """

    name: ClassVar[str] = "gateway_stopped"
    daemon_id: str
    n_open: int
    n_receiving: int
    n_unsent: int
    n_sent: int
    n_begun: int
    n_answered: int
    leaving_s: float


@dataclass(frozen=True, slots=True)
class GatewayClosed(Event):
    """The gateway has closed; ``unfinished`` names what didn't close in time.

    ``n_open`` requests were still open when the servers had closed.
    """

    name: ClassVar[str] = "gateway_closed"
    daemon_id: str
    n_open: int
    unfinished: str
    took_s: float
    leaving_s: float


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file was read again; ``problem`` tells why it can't be used."""

    name: ClassVar[str] = "settings_reloaded"
    problem: str


@dataclass(frozen=True, slots=True)
class DependencyChanged(Event):
    """A dependency became unavailable or available again."""

    name: ClassVar[str] = "dependency_changed"
    dependency: Dependency
    is_lost: bool
    detail: str


@dataclass(frozen=True, slots=True)
class SlowTargetsChanged(Event):
    """The targets of a pool that are avoided since they are slow.

    Without a further message of the pool's owner, they are avoided for ``valid_s``.
    """

    name: ClassVar[str] = "slow_targets_changed"
    pool: str
    target_ids: tuple[str, ...]
    valid_s: float


@dataclass(frozen=True, slots=True)
class LoadedTargetsChanged(Event):
    """The targets of a pool that get no new work, except work cached there that fits.

    Logged at most once in 5 s for a pool. Without a further message of the pool's
    owner, the list expires after ``valid_s``.
    """

    name: ClassVar[str] = "loaded_targets_changed"
    pool: str
    target_ids: tuple[str, ...]
    valid_s: float


@dataclass(frozen=True, slots=True)
class TargetSpeedsChanged(Event):
    """The speeds by which work is divided between the targets of a pool.

    Each is a target and its speed relative to the median; the others have 1. Sent by
    the pool's owner at most once in 5 s.
    """

    name: ClassVar[str] = "target_speeds_changed"
    pool: str
    speeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StateSourceChanged(Event):
    """The source of configuration and targets changed: the store or a peer.

    ``peer_id`` is the daemon that is queried next. Ages are those of the state held;
    None if it was never confirmed.
    """

    name: ClassVar[str] = "state_source_changed"
    source: str
    peer_id: str
    reason: str
    configuration_version: int
    configuration_age_s: float | None
    targets_age_s: float | None


@dataclass(frozen=True, slots=True)
class LinksChanged(Event):
    """The daemon lost its links to all targets, or has them back.

    ``n_probes`` targets were probed; before that, none had answered for ``silent_s``.
    """

    name: ClassVar[str] = "links_changed"
    is_lost: bool
    n_probes: int
    silent_s: float


@dataclass(frozen=True, slots=True)
class PeerLinksChanged(Event):
    """Another daemon said that it lost its links to all targets, or has them back."""

    name: ClassVar[str] = "peer_links_changed"
    daemon_id: str
    is_lost: bool


@dataclass(frozen=True, slots=True)
class RequestHandedOver(Event):
    """A request is sent to another daemon, since this one reaches no target.

    ``configuration_version`` is that of the configuration that admitted it here.
    """

    name: ClassVar[str] = "request_handed_over"
    request_id: str
    peer_id: str
    left_s: float
    configuration_version: int


@dataclass(frozen=True, slots=True)
class HandoverEnded(Event):
    """The answer of the other daemon ended; ``status`` is 0 if there was none."""

    name: ClassVar[str] = "handover_ended"
    request_id: str
    peer_id: str
    status: int
    detail: str
    took_s: float


@dataclass(frozen=True, slots=True)
class ContentCleared(Event):
    """A content leaves its quarantine, since it completed at another daemon."""

    name: ClassVar[str] = "content_cleared"
    fingerprint: str


@dataclass(frozen=True, slots=True)
class StoreEraChanged(Event):
    """The store came back from a copy; what was written since then is lost."""

    name: ClassVar[str] = "store_era_changed"
    era: int
    previous_era: int


@dataclass(frozen=True, slots=True)
class ConfigurationApplied(Event):
    """A newer configuration is in force; ``source`` tells where it came from."""

    name: ClassVar[str] = "configuration_applied"
    version: int
    previous_version: int
    source: str


@dataclass(frozen=True, slots=True)
class ConfigurationRejected(Event):
    """A configuration could not be decoded; the previous one stays in force."""

    name: ClassVar[str] = "configuration_rejected"
    problem: str
    kept_version: int


@dataclass(frozen=True, slots=True)
class TargetChanged(Event):
    """The state of a target changed; ``version`` is that of the list of targets."""

    name: ClassVar[str] = "target_changed"
    target_id: str
    pool: str
    zone: str
    change: RegistryChangeKind
    version: int
    problem: str


@dataclass(frozen=True, slots=True)
class ZoneEvacuated(Event):
    """An evacuation is in force: nothing more is sent to the targets of a zone.

    ``source`` tells where it came from; ``era`` and ``version`` are those of the store.
    """

    name: ClassVar[str] = "zone_evacuated"
    zone: str
    source: str
    era: int
    version: int


@dataclass(frozen=True, slots=True)
class ZoneReturned(Event):
    """An evacuation ended at this daemon after ``evacuated_s``.

    The source ``hold`` means that the store came back from a copy without the row, and
    that the row wasn't written again in time.
    """

    name: ClassVar[str] = "zone_returned"
    zone: str
    source: str
    era: int
    version: int
    evacuated_s: float


@dataclass(frozen=True, slots=True)
class TargetHeaderUnreadable(Event):
    """Headers of a target's answer could not be decoded, and were ignored.

    Logged once per target and minute; ``n_answers`` had such a header since the last.
    """

    name: ClassVar[str] = "target_header_unreadable"
    target_id: str
    detail: str
    n_answers: int


@dataclass(frozen=True, slots=True)
class FeedMissedChange(Event):
    """A read of the configuration found a change that its feed had passed."""

    name: ClassVar[str] = "feed_missed_change"
    known_version: int
    version: int


@dataclass(frozen=True, slots=True)
class RequestRouted(Event):
    """A request was matched to a route and a pool.

    ``configuration_age_s`` is the time since the configuration was last known to be the
    newest, None if that is unknown; ``configuration_source`` where it came from.
    ``resumes`` is the attempt with which a stream began that the caller takes up after
    the event ``last_event_id``; both are empty for a new request.
    """

    name: ClassVar[str] = "request_routed"
    request_id: str
    route: str
    pool: str
    account_id: str
    priority: int
    account_priority: int | None
    configuration_version: int
    configuration_age_s: float | None
    configuration_source: str
    left_s: float
    resumes: str
    last_event_id: str


@dataclass(frozen=True, slots=True)
class RequestDenied(Event):
    """A request was refused since the configuration has no such route or key.

    The other fields are as in ``request_routed``.
    """

    name: ClassVar[str] = "request_denied"
    request_id: str
    reason: RefusalReason
    configuration_version: int
    configuration_age_s: float | None
    configuration_source: str


@dataclass(frozen=True, slots=True)
class StreamOriginSought(Event):
    """The software version that began a stream was sought, as its caller takes it up.

    ``software`` is empty if it stayed unknown; ``n_asked`` daemons were asked.
    """

    name: ClassVar[str] = "stream_origin_sought"
    request_id: str
    resumes: str
    pool: str
    software: str
    source: OriginSource
    n_asked: int
    took_s: float


@dataclass(frozen=True, slots=True)
class StageJobSent(Event):
    """A stage job was submitted to the daemon that schedules its pool."""

    name: ClassVar[str] = "stage_job_sent"
    request_id: str
    stage: int
    pool: str
    owner_id: str
    n_pieces: int
    left_s: float


@dataclass(frozen=True, slots=True)
class StageJobEnded(Event):
    """A stage job was completed or failed."""

    name: ClassVar[str] = "stage_job_ended"
    request_id: str
    stage: int
    pool: str
    failure: str
    took_s: float


@dataclass(frozen=True, slots=True)
class StageCallSent(Event):
    """A batch call was sent to a target; ``n_jobs`` jobs have incomplete pieces.

    ``n_repeated`` of the pieces were sent before. ``n_bytes`` is the size of its body.
    """

    name: ClassVar[str] = "stage_call_sent"
    call_id: int
    target_id: str
    pool: str
    n_pieces: int
    n_repeated: int
    request_ids: tuple[str, ...]
    n_jobs: int
    expected_s: float
    n_bytes: int


@dataclass(frozen=True, slots=True)
class StageCallEnded(Event):
    """A batch call ended; ``verdict`` is made, full or failed."""

    name: ClassVar[str] = "stage_call_ended"
    call_id: int
    target_id: str
    pool: str
    verdict: str
    n_made: int
    detail: str
    took_s: float


@dataclass(frozen=True, slots=True)
class StageFreeFailed(Event):
    """Results could not be freed; they occupy memory until they expire."""

    name: ClassVar[str] = "stage_free_failed"
    target_id: str
    pool: str
    n_results: int
    detail: str


@dataclass(frozen=True, slots=True)
class StagePoolRationed(Event):
    """A stage pool has more demand than capacity; only a share of chains starts.

    Logged by the pool's owner, at most once per second and pool. ``n_on_time`` of the
    ``n_waiting`` pieces can be on time. ``shares`` are those by rank, without accounts
    that get less.
    """

    name: ClassVar[str] = "stage_pool_rationed"
    pool: str
    capacity_per_s: float
    n_waiting: int
    n_on_time: int
    shares: str
    n_limited_accounts: int


@dataclass(frozen=True, slots=True)
class StagePoolState(Event):
    """What holds up the jobs of a stage pool: its host, its order or its memory.

    Logged by the pool's owner, at most once per second and pool, while there are jobs.
    ``n_overdue`` jobs can't meet their objectives, ``n_without_memory`` don't fit into
    the free memory of the targets, of which ``memory_share`` is in use. ``n_repeats``
    queued pieces were sent before and may wait for the limit on repeats.
    ``full_call_s`` is the learned time of a full call, ``configured_s`` the configured
    one. ``sent_bytes_per_s`` are the bodies of the calls since the last line, and
    ``loop_lag_s`` the longest delay of the owner's event loop.
    """

    name: ClassVar[str] = "stage_pool_state"
    pool: str
    n_jobs: int
    n_overdue: int
    n_without_memory: int
    memory_share: float
    n_working: int
    n_targets: int
    n_repeats: int
    full_call_s: float
    configured_s: float
    sent_bytes_per_s: float
    loop_lag_s: float


@dataclass(frozen=True, slots=True)
class AttemptSent(Event):
    """An attempt began: the request is being sent to a target.

    ``software`` is the target's version; ``last_event_id`` the event after which the
    target continues a stream, empty if it begins one.
    """

    name: ClassVar[str] = "attempt_sent"
    request_id: str
    target_id: str
    software: str
    number: int
    last_event_id: str
    own_load: int
    reported_load: int
    report_age_s: float
    left_s: float


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt ended.

    ``status`` and the shortened ``signature`` are those of the answer that was read,
    also if it was not forwarded; ``is_first`` whether its connection had none before,
    ``n_surplus`` how many answers to other requests were skipped before it.
    ``head_s`` and ``first_s`` are the times to the head of the answer and to the
    first bytes of its body.
    """

    name: ClassVar[str] = "attempt_ended"
    request_id: str
    target_id: str
    verdict: AttemptVerdict
    status: int
    signature: str
    is_first: bool
    n_surplus: int
    detail: str
    head_s: float | None
    first_s: float | None
    took_s: float


@dataclass(frozen=True, slots=True)
class TargetBroke(Event):
    """A target broke off a request: its connection ended before the answer did.

    ``n_events`` are the events of the answer that had arrived. The last of
    ``prompt_parts`` belongs to the request alone; of a long prompt the first ones are
    listed.
    """

    name: ClassVar[str] = "target_broke"
    request_id: str
    target_id: str
    born_ms: int
    fingerprint: str
    prompt_parts: tuple[str, ...]
    has_head: bool
    n_events: int


@dataclass(frozen=True, slots=True)
class TargetLimited(Event):
    """A target needs permits from now on, or with ``limit`` "none" no longer.

    ``limit`` is "cold" or "stated"; ``permits_per_s`` is what its owner issues.
    """

    name: ClassVar[str] = "target_limited"
    target_id: str
    pool: str
    limit: str
    permits_per_s: float | None


@dataclass(frozen=True, slots=True)
class PermitRefused(Event):
    """No permit for a target was granted; logged once per second and target.

    With ``none_left`` the owner has issued all; with ``no_answer`` it was silent; with
    ``no_owner`` no daemon issues permits of this target yet.
    """

    name: ClassVar[str] = "permit_refused"
    target_id: str
    pool: str
    reason: PermitDenial
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class TargetBacksOff(Event):
    """A target answered 503 with the time for which it accepts nothing."""

    name: ClassVar[str] = "target_backs_off"
    target_id: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class PromptQuarantined(Event):
    """Requests whose prompt has all of these parts are refused from now on.

    ``n_crashes`` are the crashes that this daemon knows of.
    """

    name: ClassVar[str] = "prompt_quarantined"
    parts: tuple[str, ...]
    source: QuarantineSource
    n_crashes: int


@dataclass(frozen=True, slots=True)
class QuarantineLifted(Event):
    """Requests whose prompt has these parts are no longer refused."""

    name: ClassVar[str] = "quarantine_lifted"
    parts: tuple[str, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """A request got its final answer; ``reason`` is set if the gateway refused it."""

    name: ClassVar[str] = "request_ended"
    request_id: str
    route: str
    status: int
    reason: RefusalReason | None
    detail: str
    retry_after_s: float | None
    n_attempts: int
    took_s: float
