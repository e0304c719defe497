"""Shares of requests that had to be refused recently because of engine load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.decaying_sum import remaining_share
from savorychute.gateway.dispatch.rank_limits import LAST_TIER_RANKS

if TYPE_CHECKING:
    from collections.abc import Sequence

# Time after which a sample of engine load has decayed, and the weight of a sample.
DECAY_S = 2.0
SAMPLE_WEIGHT = 0.15


class RecentShares:
    """Recently refused shares of the least urgent tier, by rank.

    Each sample updates all ranks, so that the share of no rank exceeds that of a less
    urgent one.
    """

    def __init__(self) -> None:
        self._shares = [0.0] * len(LAST_TIER_RANKS)
        self._updated_ms: int | None = None

    def update(self, shares: Sequence[float], now_ms: int) -> list[float]:
        """Add a sample, and return the recent shares.

        :param shares: shares of the tier's ranks, in their order.
        :param now_ms: the current time.
        """
        remaining = remaining_share(self._updated_ms, now_ms, DECAY_S)
        self._updated_ms = now_ms
        self._shares = [
            remaining * recent + SAMPLE_WEIGHT * (share - remaining * recent)
            for recent, share in zip(self._shares, shares, strict=True)
        ]
        return self._shares
