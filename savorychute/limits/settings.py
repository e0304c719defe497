"""Settings of customer limits."""

from __future__ import annotations

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """Durations and sizes of shares.

    ``burst_ms`` is how long an unused rate is saved up.
    """

    burst_ms: int = 1_000
    max_retry_after_ms: int = 30_000
