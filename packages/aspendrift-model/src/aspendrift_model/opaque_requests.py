"""Requests whose content the system forwards without reading it."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import AttemptId

__all__ = ["Headers", "OpaqueRequest", "PromptPart"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True)
class OpaqueRequest:
    """A caller's request: what is forwarded, and what the caller said about it.

    Parameters
    ----------
    target_path : bytes
        Path and query exactly as they came.
    headers : tuple of (bytes, bytes)
        Headers that are forwarded; those of the connection and those that only
        the system may set are left out.
    attempt_id : AttemptId
        The caller's name of this try; empty if it sent none.
    caller_timeout_s : float or None
        Time that the caller will wait from when it sent the request, in seconds.
    key : str or None
        The caller's credential.
    pieces : tuple of int
        Pieces of each stage.
    piece_key : str
        What the pieces without inputs are made from.
    last_event_id : str or None
        Last event that the caller has of an earlier run of this stream.
    """

    method: str
    host: str
    path: str
    target_path: bytes
    headers: Headers
    body: bytes
    attempt_id: AttemptId
    caller_timeout_s: float | None
    key: str | None
    prompt: tuple[PromptPart, ...] = ()
    pieces: tuple[int, ...] = ()
    piece_key: str = ""
    last_event_id: str | None = None
