"""The rate at which a pool starts requests while others wait."""

from __future__ import annotations

import math

#: The time constant of the decay: the weight of a start falls by a factor of e
#: in this time.
DECAY_TIME_CONSTANT_MS = 5_000

#: With fewer starts the rate is unknown.
MIN_STARTS = 8.0

#: The minimum share of the starts that is left for a lower tier, because each
#: tier has guaranteed starts.
MIN_TIER_SHARE = 0.02


class StartRate:
    """Decaying sums of starts by tier, and of the time in which they occurred.

    Only time in which requests were waiting counts, because the start rate of
    an idle pool does not show its capacity.
    """

    def __init__(self) -> None:
        self._decayed_starts: dict[int, float] = {}
        self._busy_ms = 0.0
        self._last_ms = 0
        self._is_busy = False

    def record_start(self, tier: int, now_ms: int, *, still_waiting: bool) -> None:
        """Count a start.

        :param tier: the tier of the request.
        :param now_ms: the current time.
        :param still_waiting: whether other requests wait for capacity.
        """
        if self._is_busy:
            self._decay(now_ms)
            self._decayed_starts[tier] = self._decayed_starts.get(tier, 0.0) + 1
        self._last_ms = now_ms
        self._is_busy = still_waiting

    def interval_ms(self, tier: int) -> float | None:
        """Return the time between the starts that are left for a tier.

        :param tier: the tier; starts of higher tiers are subtracted.
        """
        total = sum(self._decayed_starts.values())
        if total < MIN_STARTS:
            return None
        higher = sum(
            count for other, count in self._decayed_starts.items() if other < tier
        )
        return self._busy_ms / max(total - higher, total * MIN_TIER_SHARE)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._last_ms
        if elapsed_ms <= 0:
            return
        factor = math.exp(-elapsed_ms / DECAY_TIME_CONSTANT_MS)
        for tier in self._decayed_starts:
            self._decayed_starts[tier] *= factor
        self._busy_ms = self._busy_ms * factor + elapsed_ms
