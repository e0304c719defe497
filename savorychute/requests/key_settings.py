"""Settings of the key manager."""

from __future__ import annotations

from typing import NamedTuple


class KeySettings(NamedTuple):
    """Timeouts, intervals and limits of the key manager.

    ``key_lifetime_ms``: a key starts nothing later than this after its issue.
    ``witness_margin_ms``: how much longer than that a witness retains a record,
    because clocks run at different rates.  ``notice_interval_ms`` and
    ``notice_timeout_ms``: when a start notice is resent, and when the issuer
    stops waiting for the response.  ``question_*``: the same for a query to a
    witness.  ``clock_margin_ms``: the maximum difference between the wall clocks
    of callers and instances.  ``claim_lifetime_ms``: older caller-supplied keys
    are refused.  ``claim_wait_ms``: how long a request waits for its claim.
    ``claim_homes``: the number of instances that claim keys; the others redirect
    callers to them.  ``claim_follow_ms``: how long an instance that is not a
    home reads the claims stream after a caller retried a key there.
    ``log_retry_ms``: how long claims are refused immediately after the log
    failed.  ``redirect_memory_ms``: a key retried within this time got no
    response from the instance to which it was redirected.  ``outcome_*``: limits
    of stored responses.
    """

    key_lifetime_ms: int = 600_000
    witness_margin_ms: int = 60_000
    notice_interval_ms: int = 40
    notice_timeout_ms: int = 400
    question_interval_ms: int = 100
    question_timeout_ms: int = 1_000
    redirect_memory_ms: int = 60_000
    settle_interval_ms: int = 1_000
    max_keys: int = 20_000
    max_notes: int = 40_000
    max_waiting_per_key: int = 8
    max_questions: int = 1_024
    max_redirects: int = 2_048
    outcome_lifetime_ms: int = 600_000
    outcome_max_count: int = 4_096
    outcome_max_bytes: int = 8_388_608
    outcome_body_max_bytes: int = 262_144
    clock_margin_ms: int = 1_000
    claim_lifetime_ms: int = 600_000
    claim_homes: int = 8
    claim_follow_ms: int = 60_000
    claim_wait_ms: int = 2_000
    claim_batch_ms: int = 20
    claim_batch_count: int = 256
    claim_read_timeout_ms: int = 1_000
    claim_read_interval_ms: int = 10
    claim_idle_interval_ms: int = 1_000
    claim_page_records: int = 256
    claim_backlog_records: int = 2_048
    log_retry_ms: int = 500
    max_claims: int = 20_000
    max_pending_claims: int = 2_048
