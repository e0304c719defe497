"""Settings of the retry budget."""

from __future__ import annotations

from typing import NamedTuple


class RetrySettings(NamedTuple):
    """Limits of retries.

    ``burst`` is the maximum number of retries that an organisation accumulates,
    ``floor_per_s`` the rate that it gets regardless of its requests, and
    ``organisations`` the maximum number of organisations with a bucket.
    """

    burst: float = 5.0
    floor_per_s: float = 0.1
    organisations: int = 2_048
