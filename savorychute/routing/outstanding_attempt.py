"""An attempt of this instance that is in progress."""

from __future__ import annotations


class OutstandingAttempt:
    """An attempt at an endpoint, from its start to its end.

    ``uncached_tokens`` is the part of its own prompt that had to be computed,
    ``prefill_tokens`` the same including the prompts ahead of it, and
    ``had_to_wait`` whether the endpoint had no free slot when it was sent.
    """

    __slots__ = (
        'attempt_id',
        'endpoint',
        'had_to_wait',
        'last_token_ms',
        'prefill_tokens',
        'started_ms',
        'tokens',
        'uncached_tokens',
    )

    def __init__(
        self,
        attempt_id: str,
        endpoint: str,
        started_ms: int,
        uncached_tokens: float,
        prefill_tokens: float,
        had_to_wait: bool,
    ) -> None:
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.started_ms = started_ms
        self.uncached_tokens = uncached_tokens
        self.prefill_tokens = prefill_tokens
        self.had_to_wait = had_to_wait
        self.last_token_ms = -1
        self.tokens = 0
