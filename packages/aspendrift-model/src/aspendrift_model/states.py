"""Enumerations shared by all packages."""

from __future__ import annotations

from enum import Enum, IntEnum

__all__ = [
    "AttemptEnd",
    "CallerAction",
    "ItemKind",
    "MemberState",
    "OutcomeStatus",
    "PeerFeature",
    "Priority",
    "ProfileState",
    "Ran",
    "RefusalReason",
    "StageKind",
    "TargetKind",
    "TargetState",
]


class Ran(Enum):
    """Whether any byte of a request reached a target."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Priority(IntEnum):
    """Order in which requests are served; a lower number is served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class StageKind(Enum):
    """Kind of work that a stage of a pipeline does."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    CALL = "call"


class TargetKind(Enum):
    """Kind of target; determines the protocol that it speaks."""

    ENGINE = "engine"
    STAGE_POOL = "stage_pool"
    SERVICE = "service"


class TargetState(Enum):
    """Life cycle of a target in the configuration."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "removed"


class ProfileState(Enum):
    """Life cycle of a profile in the configuration."""

    PUBLISHED = "published"
    RETIRED = "retired"


class ItemKind(Enum):
    """Kind of a configuration item; the prefix of its key."""

    PROFILE = "profile"
    TARGET = "target"
    ACCOUNT = "account"


class MemberState(Enum):
    """Life cycle of a daemon as observed by its peers."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    DEAD = "dead"


class PeerFeature(Enum):
    """What a daemon understands beyond the first version of the peer messages.

    The value is the number of the feature's bit in an announcement. A value is never
    used again for something else.
    """

    PERMITS = 0
    EVACUATIONS = 1
    ANNOUNCEMENTS = 2
    TARGET_LOADS = 3
    CAPACITIES = 4


class AttemptEnd(Enum):
    """How one attempt of a stage on one target ended."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class OutcomeStatus(Enum):
    """Final status of a request as reported to its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


class CallerAction(Enum):
    """Action that a caller may take after a refusal or failure."""

    FIX_REQUEST = "fix_request"
    RESEND = "resend"
    RESEND_ELSEWHERE = "resend_elsewhere"
    ASK_OUTCOME = "ask_outcome"
    DO_NOT_RESEND = "do_not_resend"


class RefusalReason(Enum):
    """Why a request was refused or failed; values are stable codes for callers."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_PROFILE = "unknown_profile"
    REQUEST_ID_REUSED = "request_id_reused"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OVERLOADED = "overloaded"
    ACCOUNT_OVER_SHARE = "account_over_share"
    NO_TARGET = "no_target"
    TARGET_FAILED = "target_failed"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    STORE_UNAVAILABLE = "store_unavailable"
    CLAIM_RATE_EXCEEDED = "claim_rate_exceeded"
    CLAIM_HELD = "claim_held"
    OUTCOME_UNKNOWN = "outcome_unknown"
    LEAVING = "leaving"
    ISOLATED = "isolated"
    NOT_READY = "not_ready"
    CONFIGURATION_BEHIND = "configuration_behind"
    POISON = "poison"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"
