"""Settings of the key keeper."""

from __future__ import annotations

from typing import NamedTuple


class KeySettings(NamedTuple):
    """Bounds of what a key keeper waits for and remembers.

    ``key_lifetime_ms``: a key starts nothing later than this after its issue.
    ``witness_margin_ms``: how much longer a witness remembers than that, for
    clocks that run at unlike rates.  ``notice_interval_ms`` and
    ``notice_timeout_ms``: resending of a start notice and when the issuer
    gives up.  ``question_*``: the same for a question to a witness.
    ``clock_margin_ms``: the most by which wall clocks of callers and instances
    differ.  ``claim_lifetime_ms``: keys that callers bring are refused when
    older.  ``claim_wait_ms``: how long a request waits for its claim.
    ``claim_homes``: how many instances claim keys; the others send callers
    there.  ``claim_follow_ms``: how long one that is no home reads the stream
    after a key came back to it.
    ``log_retry_ms``: how long claims are refused at once after the log failed.
    ``redirect_memory_ms``: a key that comes back within this time was not
    answered where its caller was sent.  ``outcome_*``: stored answers.
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
