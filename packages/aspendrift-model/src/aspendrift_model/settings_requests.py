"""Settings of request processing: claims, retries, streams, poison requests."""

from __future__ import annotations

from dataclasses import dataclass

from aspendrift_model.settings_base import setting

__all__ = ["RequestSettings"]


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Limits and timeouts of request processing."""

    max_body_bytes: int = setting(
        524_288, unit="bytes", doc="Maximum size of a request body.", minimum=1024
    )
    max_open: int = setting(
        4096,
        doc="Maximum number of open requests; further requests are refused.",
        minimum=1,
    )
    connect_timeout_ms: int = setting(
        500, unit="ms", doc="Timeout for connecting to a target.", minimum=1
    )
    token_stall_ms: int = setting(
        1500, unit="ms", doc="Timeout for the next token of a stream.", minimum=10
    )
    max_attempts_per_stage: int = setting(
        3, doc="Maximum number of attempts of a stage, including the first.", minimum=1
    )
    max_resumes_per_attempt: int = setting(
        1,
        doc="Maximum number of times that a broken stream is resumed at its engine.",
        minimum=0,
    )
    stream_buffer_tokens: int = setting(
        64,
        doc="Tokens buffered for a slow caller before reads from its engine pause.",
        minimum=1,
    )
    claim_rows_per_s: float = setting(
        300.0,
        unit="rows/s",
        doc="Maximum rate of claim and outcome rows written by all daemons together.",
        minimum=1,
    )
    claim_batch_rows: int = setting(
        64, doc="Maximum number of rows written in one transaction.", minimum=1
    )
    claim_max_wait_ms: int = setting(
        500,
        unit="ms",
        doc="Maximum queue time of a claim before it is written.",
        minimum=1,
    )
    claim_timeout_ms: int = setting(
        1000, unit="ms", doc="Timeout for the confirmation of a claim.", minimum=1
    )
    claim_held_wait_ms: int = setting(
        1000,
        unit="ms",
        doc="Maximum wait for the same request to end on another daemon.",
        minimum=0,
    )
    claim_view_age_s: float = setting(
        10.0,
        unit="s",
        doc="Time after its start for which a daemon treats an unknown "
        "holder of a claim as alive and not yet in its membership view.",
        minimum=0,
    )
    outcome_store_wait_ms: int = setting(
        250,
        unit="ms",
        doc="Maximum delay of an answer for recording its outcome in the table.",
        minimum=0,
    )
    retry_after_ms: int = setting(
        250,
        unit="ms",
        doc="Minimum retry delay returned to callers when there is no estimate.",
        minimum=1,
    )
    store_retry_after_ms: int = setting(
        500,
        unit="ms",
        doc="Minimum retry delay returned to callers while the table is unavailable.",
        minimum=1,
    )
    max_unsettled_claims: int = setting(
        2000, doc="Maximum number of outcomes not yet recorded in the table.", minimum=1
    )
    poison_settle_ms: int = setting(
        100,
        unit="ms",
        doc="Delay between announcing the trial of a suspect request and sending it.",
        minimum=0,
    )
    poison_trial_s: float = setting(
        30.0,
        unit="s",
        doc="Maximum time for which a trial delays requests with the same content.",
        minimum=0.1,
    )
    poison_suspicion_s: float = setting(
        120.0,
        unit="s",
        doc="Time for which a crash makes the contents in flight suspects.",
        minimum=1,
    )
    poison_conviction_s: float = setting(
        3600.0,
        unit="s",
        doc="Time for which a quarantined content is refused.",
        minimum=1,
    )
    witness_wait_ms: int = setting(
        100,
        unit="ms",
        doc="Timeout of queries to witnesses for dispatch records of earlier attempts.",
        minimum=1,
    )
    witness_memory_s: float = setting(
        900.0, unit="s", doc="Time for which a dispatch record is retained.", minimum=1
    )
