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
    ``redirect_memory_ms``: a key that comes back within this time was not
    answered where its caller was sent.  ``outcome_*``: stored answers.
    """

    key_lifetime_ms: int = 600_000
    witness_margin_ms: int = 60_000
    notice_interval_ms: int = 40
    notice_timeout_ms: int = 400
    question_interval_ms: int = 100
    question_timeout_ms: int = 1_000
    redirect_memory_ms: int = 10_000
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
