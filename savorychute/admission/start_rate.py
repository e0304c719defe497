"""How fast a pool starts requests while work waits."""

from __future__ import annotations

import math

#: Older starts count less by a factor e for each of these.
MEMORY_MS = 5_000

#: Fewer starts than these say nothing yet.
MIN_STARTS = 8.0

#: Even lower tiers get some part of the starts, by their guarantee.
MIN_SHARE = 0.02


class StartRate:
    """Decaying sums of starts, by tier, and of the time they took.

    Only time in which requests waited counts, since an idle pool says nothing
    about its capacity.
    """

    def __init__(self) -> None:
        self._starts: dict[int, float] = {}
        self._busy_ms = 0.0
        self._last_ms = 0
        self._is_busy = False

    def started(self, tier: int, now_ms: int, *, still_waiting: bool) -> None:
        """Count a start.

        :param tier: of the request.
        :param now_ms: the time.
        :param still_waiting: whether other requests wait for capacity.
        """
        if self._is_busy:
            self._decay(now_ms)
            self._starts[tier] = self._starts.get(tier, 0.0) + 1
        self._last_ms = now_ms
        self._is_busy = still_waiting

    def interval_ms(self, tier: int) -> float | None:
        """Return the time between starts that are left for a tier.

        :param tier: higher tiers' starts are taken off first.
        """
        total = sum(self._starts.values())
        if total < MIN_STARTS:
            return None
        higher = sum(count for other, count in self._starts.items() if other < tier)
        return self._busy_ms / max(total - higher, total * MIN_SHARE)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._last_ms
        if elapsed_ms <= 0:
            return
        factor = math.exp(-elapsed_ms / MEMORY_MS)
        for tier in self._starts:
            self._starts[tier] *= factor
        self._busy_ms = self._busy_ms * factor + elapsed_ms
