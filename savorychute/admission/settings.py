"""Settings of admission control."""

from __future__ import annotations

from typing import NamedTuple


class AdmissionSettings(NamedTuple):
    """Limits of the queue of one instance.

    ``late_share`` sets the estimate from which a request is shed: 0 if it
    would miss its first token target, 1 if it would not be started at all.
    ``guaranteed_one_in`` limits guaranteed starts to one start in that many.
    ``guarantee_floor`` is the minimum share of a pool's starts that a class
    with waiting requests is guaranteed.  ``preempt_after_share`` is the share
    of its first token target that a request waits before others are preempted.
    """

    max_requests: int = 4096
    max_bytes: int = 16 * 1024 * 1024
    late_share: float = 1.0
    guaranteed_one_in: int = 4
    guarantee_floor: float = 0.002
    preempt_after_share: float = 0.25
    min_retry_after_ms: int = 500
    max_retry_after_ms: int = 30_000
