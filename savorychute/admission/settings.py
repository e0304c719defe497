"""Settings of admission."""

from __future__ import annotations

from typing import NamedTuple


class AdmissionSettings(NamedTuple):
    """Bounds of the queue of one instance.

    ``late_share`` says from which estimate on a request is shed: 0 when it
    would miss its first token target, 1 when it would not be started at all.
    ``guaranteed_one_in`` bounds the
    starts that go to guaranteed minimums: one in that many.
    ``guarantee_floor`` is the least part of a pool's starts that a class with
    waiting work is guaranteed.  ``preempt_after_share`` is the part of its
    first token target that a request waits before others are preempted.
    """

    max_requests: int = 4096
    max_bytes: int = 16 * 1024 * 1024
    late_share: float = 1.0
    guaranteed_one_in: int = 4
    guarantee_floor: float = 0.002
    preempt_after_share: float = 0.25
    min_retry_after_ms: int = 500
    max_retry_after_ms: int = 30_000
