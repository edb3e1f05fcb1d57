"""Requests whose body is forwarded without being parsed."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.ids import AttemptId, DaemonId, PromptPartId

__all__ = ["HandedOver", "Headers", "OpaqueRequest", "PromptPart"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A section of a prompt that several requests may have in common."""

    part_id: PromptPartId
    n_tokens: int


@dataclass(frozen=True, slots=True)
class HandedOver:
    """The daemon that received a request but reaches no target.

    ``configuration_version`` is that of the configuration by which it admitted the
    request, -1 if it did not tell.
    """

    daemon_id: DaemonId
    configuration_version: int = -1


@dataclass(frozen=True, slots=True)
class OpaqueRequest:
    """A caller's request: the forwarded message and the caller's metadata.

    Parameters
    ----------
    target_path : bytes
        Path and query exactly as received.
    headers : tuple of (bytes, bytes)
        Headers to forward, without connection-specific headers and without
        those that only the gateway may set.
    attempt_id : AttemptId
        Identifier that the caller gave this attempt; empty if it sent none.
    caller_timeout_s : float or None
        Caller timeout, counted from the sending of the request, in seconds.
    key : str or None
        API key of the caller.
    pieces : tuple of int
        Number of pieces of each stage.
    piece_key : str
        Key from which targets compute the pieces that have no inputs.
    last_event_id : str or None
        Last event that the caller received before the stream was interrupted.
    resumes : AttemptId or None
        Attempt of the caller with which that stream began.
    handed_over : HandedOver or None
        Where the request comes from, unless it comes from its caller.
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
    resumes: AttemptId | None = None
    handed_over: HandedOver | None = None

    @property
    def shared_parts(self) -> tuple[PromptPartId, ...]:
        """Parts of the prompt that other requests may have; the last one is its own."""
        return tuple(part.part_id for part in self.prompt[:-1])
