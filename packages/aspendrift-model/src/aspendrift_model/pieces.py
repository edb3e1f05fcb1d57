"""Pieces of stages, and the outcomes of the target calls that compute them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from aspendrift_model.ids import AttemptId

__all__ = [
    "Handle",
    "JobOrigin",
    "PieceFailure",
    "PieceId",
    "PieceOutcome",
    "PieceWork",
]

Handle = NewType("Handle", str)


@dataclass(frozen=True, slots=True, order=True)
class PieceId:
    """Identifies one piece of one stage of one request attempt."""

    attempt_id: AttemptId
    stage: int
    piece: int


@dataclass(frozen=True, slots=True)
class PieceWork:
    """Input that a target needs to compute a piece.

    Parameters
    ----------
    key : str
        Key from which a piece without inputs is computed; empty otherwise.
    inputs : tuple of Handle
        Handles of the results of all pieces of the preceding stages; empty for
        a piece with a key.
    """

    piece_id: PieceId
    key: str
    inputs: tuple[Handle, ...]


class PieceFailure(Enum):
    """Why a target returned no result for a piece."""

    OVERDUE = "late"
    INPUT_GONE = "input_gone"
    NO_MEMORY = "no_room"
    ERROR = "error"


class JobOrigin(Enum):
    """Why a stage job was submitted, which decides what it means for retry budgets."""

    # The first job of its request in its pool.
    FIRST = "first"
    # Another stage of the request in the same pool.
    FURTHER = "further"
    # The results of an earlier job of the stage are gone.
    REPEATED = "repeated"
    # The owner of the pool was lost, and may have sent some of the pieces.
    RESUBMITTED = "resubmitted"


PieceOutcome = Handle | PieceFailure
