"""Sums whose amounts decay linearly over time."""

from __future__ import annotations

from savorychute.clock import MS_PER_S


def remaining_share(updated_ms: int | None, now_ms: int, decay_s: float) -> float:
    """Return the share of an amount that remains after some time, from 1 to 0.

    :param updated_ms: when the amount was last updated; None if its decay has not
        started.
    :param now_ms: the current time.
    :param decay_s: time after which nothing remains.
    """
    if updated_ms is None:
        return 1.0
    elapsed_s = max(0, now_ms - updated_ms) / MS_PER_S
    return max(0.0, 1.0 - elapsed_s / decay_s)


class DecayingSum:
    """A sum whose amounts decay to nothing.

    :param decay_s: time after which nothing of an amount remains if no other is added.
    """

    __slots__ = ('_decay_s', '_updated_ms', '_value')

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._value = 0.0
        self._updated_ms: int | None = None

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount.

        :param amount: 0 or more.
        :param now_ms: the current time.
        """
        self._value = self.value(now_ms) + amount
        self._updated_ms = now_ms

    def value(self, now_ms: int) -> float:
        """Return what remains of the amounts.

        :param now_ms: the current time.
        """
        return self._value * remaining_share(self._updated_ms, now_ms, self._decay_s)
