"""One of this instance's attempts that is in progress."""

from __future__ import annotations


class OutstandingAttempt:
    """An attempt at an endpoint, from its start to its end.

    ``uncached_tokens`` is the part of its own prompt that had to be computed,
    ``prefill_tokens`` the same with the prompts ahead of it, ``waited`` whether
    the endpoint had no free place when it was sent there.
    """

    __slots__ = (
        'attempt_id',
        'endpoint',
        'last_token_ms',
        'prefill_tokens',
        'started_ms',
        'tokens',
        'uncached_tokens',
        'waited',
    )

    def __init__(
        self,
        attempt_id: str,
        endpoint: str,
        started_ms: int,
        uncached_tokens: float,
        prefill_tokens: float,
        waited: bool,
    ) -> None:
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.started_ms = started_ms
        self.uncached_tokens = uncached_tokens
        self.prefill_tokens = prefill_tokens
        self.waited = waited
        self.last_token_ms = -1
        self.tokens = 0
