"""Pieces of stages, their results and how calls for them end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from aspendrift_model.ids import AttemptId

__all__ = ["Handle", "PieceFailure", "PieceId", "PieceOutcome", "PieceWork"]

Handle = NewType("Handle", str)


@dataclass(frozen=True, slots=True, order=True)
class PieceId:
    """One piece of one stage of one request."""

    attempt_id: AttemptId
    stage: int
    piece: int


@dataclass(frozen=True, slots=True)
class PieceWork:
    """What a target needs to make a piece.

    Parameters
    ----------
    key : str
        What a piece without inputs is made from; empty otherwise.
    inputs : tuple of Handle
        Results of all pieces of the stages before; empty for a piece with a key.
    """

    piece_id: PieceId
    key: str
    inputs: tuple[Handle, ...]


class PieceFailure(Enum):
    """Why a target made no result."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_MEMORY = "no_room"
    ERROR = "error"


PieceOutcome = Handle | PieceFailure
