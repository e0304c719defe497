"""A token bucket whose rate changes."""

from __future__ import annotations

from savorychute.clock import MS_PER_S


class TokenBucket:
    """Permits that accrue at a rate and are saved up to a capacity.

    The level may fall below zero, when something cost more than was expected;
    nothing more is permitted until it has recovered.

    :param level: permits at the start.
    """

    def __init__(self, level: float, now_ms: int) -> None:
        self.level = level
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self._updated_ms = now_ms

    def set_rate(self, rate_per_s: float, capacity: float, now_ms: int) -> None:
        """Change the rate; what is saved above the capacity is lost.

        :param rate_per_s: permits a second.
        :param capacity: the most that is saved up.
        :param now_ms: the time.
        """
        self._accrue(now_ms)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def spend(self, amount: float, now_ms: int) -> None:
        """Take permits, or put them back if negative.

        :param amount: how many.
        :param now_ms: the time.
        """
        self._accrue(now_ms)
        self.level = min(self.level - amount, self.capacity)

    def wait_ms(self, amount: float, now_ms: int) -> float:
        """Return how long it takes until *amount* may be spent.

        More than the capacity never accrues, so a full bucket permits
        anything and goes into debt.

        :param amount: how many.
        :param now_ms: the time.
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
