"""A token bucket with a variable rate."""

from __future__ import annotations

from savorychute.clock import MS_PER_S


class TokenBucket:
    """Permits that accrue at a rate, up to a capacity.

    The level may fall below zero when a request costs more than was expected; no more
    permits are issued until the level has recovered.

    :param level: initial number of permits.
    """

    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self._updated_ms = now_ms

    def set_rate(self, rate_per_s: float, capacity: float, now_ms: int) -> None:
        """Change the rate; permits above the new capacity are lost.

        :param rate_per_s: permits per second.
        :param capacity: largest number of permits that can accumulate.
        :param now_ms: the current time.
        """
        self._accrue(now_ms)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def spend(self, amount: float, now_ms: int) -> None:
        """Consume permits, or return them if the amount is negative.

        :param amount: number of permits.
        :param now_ms: the current time.
        """
        self._accrue(now_ms)
        self.level = min(self.level - amount, self.capacity)

    def wait_ms(self, amount: float, now_ms: int) -> float:
        """Return how long it takes until *amount* can be consumed.

        An amount above the capacity never accrues, so a full bucket permits any amount
        and its level becomes negative.

        :param amount: number of permits.
        :param now_ms: the current time.
        """
        self._accrue(now_ms)
        missing = min(amount, self.capacity) - self.level
        if missing <= 0 < self.capacity:
            return 0.0
        if self.rate_per_s <= 0:
            return float('inf')
        return missing * MS_PER_S / self.rate_per_s

    def _accrue(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        gained = self.rate_per_s * elapsed_ms / MS_PER_S
        self.level = max(self.level, min(self.level + gained, self.capacity))
