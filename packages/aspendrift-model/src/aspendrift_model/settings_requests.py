"""Settings of the request engine: claims, retries, streams and poison."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["RequestSettings"]


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """How requests are run."""

    max_body_bytes: int = setting(
        524_288, unit="bytes", doc="Largest request body accepted.", minimum=1024
    )
    max_open: int = setting(
        4096, doc="Requests open at the same time; more are refused.", minimum=1
    )
    connect_timeout_ms: int = setting(
        500, unit="ms", doc="Time to connect to a target.", minimum=1
    )
    token_stall_ms: int = setting(
        1500, unit="ms", doc="Longest wait for the next token.", minimum=10
    )
    max_attempts_per_stage: int = setting(
        3, doc="Attempts of a stage, the first one included.", minimum=1
    )
    max_resumes_per_attempt: int = setting(
        1, doc="Times that a broken stream is resumed at its engine.", minimum=0
    )
    stream_buffer_tokens: int = setting(
        64, doc="Tokens held for a slow caller before its engine waits.", minimum=1
    )
    claim_rows_per_s: float = setting(
        300.0,
        unit="rows/s",
        doc="Rows of claims and outcomes written by all daemons together.",
        minimum=1,
    )
    claim_batch_rows: int = setting(
        64, doc="Rows written in one transaction.", minimum=1
    )
    claim_max_wait_ms: int = setting(
        500, unit="ms", doc="Longest wait for a turn to write a claim.", minimum=1
    )
    claim_timeout_ms: int = setting(
        1000, unit="ms", doc="Longest wait for a claim to be confirmed.", minimum=1
    )
    claim_held_wait_ms: int = setting(
        1000,
        unit="ms",
        doc="Longest wait for the end of the same request on another daemon.",
        minimum=0,
    )
    claim_view_age_s: float = setting(
        10.0,
        unit="s",
        doc="Time after its start for which a daemon takes an unknown holder of a "
        "claim for one that it has not met yet.",
        minimum=0,
    )
    outcome_store_wait_ms: int = setting(
        250, unit="ms", doc="Longest wait of an answer for the table.", minimum=0
    )
    retry_after_ms: int = setting(
        250,
        unit="ms",
        doc="Least time that callers are told to wait when nothing else is known.",
        minimum=1,
    )
    store_retry_after_ms: int = setting(
        500,
        unit="ms",
        doc="Least time that callers are told to wait for the table.",
        minimum=1,
    )
    max_unsettled_claims: int = setting(
        2000, doc="Outcomes that may wait for the table.", minimum=1
    )
    poison_settle_ms: int = setting(
        30,
        unit="ms",
        doc="Wait between announcing the trial of a suspect and sending it.",
        minimum=0,
    )
    poison_trial_s: float = setting(
        30.0, unit="s", doc="Longest that a trial keeps others waiting.", minimum=0.1
    )
    poison_suspicion_s: float = setting(
        120.0, unit="s", doc="Time for which a crash makes suspects.", minimum=1
    )
    poison_conviction_s: float = setting(
        3600.0, unit="s", doc="Time for which a content is refused.", minimum=1
    )
    witness_wait_ms: int = setting(
        100,
        unit="ms",
        doc="Longest wait for daemons that may know of an earlier send.",
        minimum=1,
    )
    witness_memory_s: float = setting(
        900.0, unit="s", doc="Time for which a dispatch is remembered.", minimum=1
    )
