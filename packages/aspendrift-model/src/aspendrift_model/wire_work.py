"""Messages between daemons on stage jobs, streams and state shared from the store.

Messages are MessagePack arrays, sent as payloads of the peer link's envelope.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "CancelJob",
    "ContentCompleted",
    "CrashReport",
    "FreeResults",
    "JobAccepted",
    "JobEnded",
    "JobResults",
    "LinksReport",
    "LoadMessage",
    "LoadSamples",
    "LoadedTargets",
    "OriginAnswer",
    "OriginMessage",
    "OriginQuery",
    "OwnerHeartbeat",
    "PartsCompleted",
    "PaceMessage",
    "PaceSamples",
    "PermitGrant",
    "PermitMessage",
    "PermitQuery",
    "PermitRefusal",
    "PermitReturn",
    "PoolLoad",
    "PromptCrash",
    "QuarantineChanged",
    "QuarantineList",
    "QuarantineMessage",
    "SlowTargets",
    "StateMessage",
    "StateQuery",
    "StateUpdate",
    "StreamBegan",
    "SubmitJob",
    "TargetLeaving",
    "TargetLoadItem",
    "TargetSpeeds",
    "WorkMessage",
]


class SubmitJob(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Submits a stage job, the pieces of one stage of a request, to a pool's owner.

    All pieces have the same inputs. Times are relative because clocks differ.
    ``n_refused`` pieces of the account, given as a hash, were refused since the last
    job; they count as demand on the pool.
    """

    job_id: str
    pool: str
    attempt_id: str
    stage: int
    pieces: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    result_bytes: float
    rank: int
    objective_left_ms: int
    left_ms: int
    zone: str
    moved_bytes: float
    inputs_left_ms: int
    n_refused: float = 0.0
    account: int = 0
    origin: str = "first"


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Confirms that the owner received a stage job."""

    job_id: str


class JobResults(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Results of some pieces of a stage job."""

    job_id: str
    pool: str
    results: tuple[tuple[int, str], ...]


class JobEnded(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Reports a failed stage job; ``failure`` is the value of a ``PieceFailure``."""

    job_id: str
    failure: str


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Cancels a stage job whose results are no longer needed.

    With ``keeps_calls`` another owner runs the job now: no more calls are sent for it,
    and the results of those that are open are still used.
    """

    job_id: str
    pool: str
    keeps_calls: bool = False


class FreeResults(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Releases results that are no longer needed."""

    pool: str
    handles: tuple[str, ...]


class PoolLoad(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Load of a pool as measured by its owner.

    Each item of ``loads`` is a rank, its number of waiting pieces and its
    arrivals per second. The capacity in pieces per second and the times of calls are
    learned by the owner; 0 if they are unknown. Each item of ``on_time`` is a rank and
    its number of waiting pieces that can be on time. ``rank_shares`` and
    ``account_shares`` have the share of chains that start, by rank, and by rank and
    hash of the account; 1 for ranks that aren't listed. ``n_requests`` requests had
    their first pieces in the last window, and ``n_repeats`` pieces were sent again.
    """

    pool: str
    made_per_s: float
    loads: tuple[tuple[int, int, float], ...]
    capacity_per_s: float = 0.0
    usual_call_s: float = 0.0
    call_s: float = 0.0
    piece_s: float = 0.0
    on_time: tuple[tuple[int, int], ...] = ()
    rank_shares: tuple[tuple[int, float], ...] = ()
    account_shares: tuple[tuple[int, int, float], ...] = ()
    n_requests: int = 0
    n_repeats: int = 0


class OwnerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Heartbeat of an owner to daemons with stage jobs; its absence means loss."""


WorkMessage = (
    SubmitJob
    | JobAccepted
    | JobResults
    | JobEnded
    | CancelJob
    | FreeResults
    | OwnerHeartbeat
    | PoolLoad
)


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks a daemon for what it knows of the store, beyond the given versions.

    ``number`` identifies the query; it is 0 if the ages in the answer don't matter.
    With ``subscribes``, later changes are to be sent without a query for a while.
    Quarantines are sent back if the digest differs.
    """

    number: int
    configuration_version: int
    targets_version: int
    subscribes: bool
    quarantine_digest: int = 0
    targets_era: int = 0


class StateUpdate(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """What a daemon knows of the store; the answer to a query, or unasked with 0.

    Ages are the times since the sender, or the daemon it follows, read the store.
    ``configuration`` is compressed with zlib; it is empty if the recipient has it.
    Each of ``targets`` is the key, version and value of an entry that changed after
    ``targets_after``, the value None if it was removed; -1 marks the complete list.
    Versions of targets are those of the store's era ``targets_era``.

    Each of ``evacuations`` is a zone, the value of its ``ZoneState`` and a time in
    milliseconds; they are always complete, as of the version of the era. The version
    is -1 if the sender doesn't know them or is of a release that doesn't send them.
    """

    number: int
    configuration_version: int
    configuration_age_ms: int
    configuration: bytes
    targets_version: int
    targets_age_ms: int
    targets_after: int
    targets: tuple[tuple[str, int, bytes | None], ...]
    targets_era: int = 0
    evacuations: tuple[tuple[str, str, int], ...] = ()
    evacuations_era: int = 0
    evacuations_version: int = -1
    evacuations_age_ms: int = 0


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Reports that a connection broke while the target ran this content.

    ``known_good_ms`` is the time for which the content, which completed lately, is no
    suspect at the origin; 0 if it is one.
    """

    target_id: str
    born_ms: int
    fingerprint: str
    known_good_ms: int = 0


class ContentCompleted(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Reports that a content completed lately that crashes of targets are blamed on."""

    fingerprint: str
    known_good_ms: int


class TargetLeaving(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Reports that a target said in an answer that it leaves."""

    target_id: str
    born_ms: int


class PromptCrash(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Reports that a target broke off a request that it had just begun to answer.

    ``parts`` are those of the prompt that other requests may have.
    """

    target_id: str
    born_ms: int
    parts: tuple[str, ...]


class PartsCompleted(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Reports that a request with these suspect parts was answered completely."""

    parts: tuple[str, ...]


class QuarantineChanged(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A quarantine of requests that have all of these parts; 0 ms left if lifted."""

    parts: tuple[str, ...]
    left_ms: int


class QuarantineList(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """All quarantines that a daemon holds: their parts and the time left in ms."""

    quarantines: tuple[tuple[tuple[str, ...], int], ...]


QuarantineMessage = PromptCrash | PartsCompleted | QuarantineChanged | QuarantineList


class PaceSamples(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Paces of streams, for the owner of their pool.

    Each of ``samples`` is a target's id and start time in milliseconds, and the gap
    between the events of a stream in microseconds.
    """

    pool: str
    samples: tuple[tuple[str, int, int], ...]


class SlowTargets(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """All slow targets of a pool: their ids and start times in milliseconds."""

    pool: str
    targets: tuple[tuple[str, int], ...]


class TargetSpeeds(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Targets of a pool whose speed differs from the median.

    Each of ``targets`` is an id, a start in milliseconds, and the speed in quarters
    of a doubling. ``relay_to`` are the daemons that the recipient passes this on to.
    """

    pool: str
    targets: tuple[tuple[str, int, int], ...]
    left_ms: int
    relay_to: tuple[str, ...] = ()


# Id and start time of a target in milliseconds, its running and waiting requests and
# slots, and the age of these figures in milliseconds.
TargetLoadItem = tuple[str, int, int, int, int, int]


class LoadSamples(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Load reports of targets, for the owner of their pool."""

    pool: str
    samples: tuple[TargetLoadItem, ...]


class LoadedTargets(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """The loaded targets of a pool, the most loaded first.

    ``relay_to`` are the daemons that the recipient passes the message on to.
    """

    pool: str
    targets: tuple[TargetLoadItem, ...]
    relay_to: tuple[str, ...] = ()


class StreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Tells a holder which software version began a stream."""

    attempt_id: str
    software: str


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks for the origin of a stream, and for the versions of a pool in a time."""

    number: int
    attempt_id: str
    pool: str
    window_ms: int


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answers a query; ``software`` is None if the origin isn't held.

    ``versions`` are the software versions that the pool had in the time of the query;
    ``is_complete`` if it was observed throughout.
    """

    number: int
    software: str | None
    versions: tuple[str, ...]
    is_complete: bool


class LinksReport(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Tells whether the sender lost its links to all targets.

    Sent when that changes, and again every second while they are lost.
    """

    is_lost: bool


class PermitQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks the owner of a target for a permit to send it one request.

    ``interval_us`` and ``window_ms`` are those of the limit that the sender knows of;
    ``max_wait_ms`` is how long it would wait for the date of a permit.
    """

    number: int
    target_id: str
    born_ms: int
    interval_us: int
    window_ms: int
    max_wait_ms: int


class PermitGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """A permit that may be used after a wait, and is then valid for some time."""

    number: int
    permit: int
    wait_ms: int
    valid_ms: int


class PermitRefusal(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Denies a permit, and tells when to ask again.

    ``is_owner`` is whether the sender issues permits of the target now.
    """

    number: int
    retry_ms: int
    is_owner: bool


class PermitReturn(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Returns a permit that wasn't used."""

    permit: int


OriginMessage = StreamBegan | OriginQuery | OriginAnswer

PaceMessage = PaceSamples | SlowTargets | TargetSpeeds

LoadMessage = LoadSamples | LoadedTargets
PermitMessage = PermitQuery | PermitGrant | PermitRefusal | PermitReturn

StateMessage = StateQuery | StateUpdate | CrashReport | ContentCompleted | TargetLeaving
