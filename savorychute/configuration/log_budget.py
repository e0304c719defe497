"""The number of log appends that an instance may send."""

from __future__ import annotations

import math
from typing import NamedTuple

MS_PER_S = 1_000
URGENT_USES = frozenset({'amendment', 'lease', 'claim'})
"""Uses that never wait, because an operator, a lease or a request depends on each.

They postpone the instance's next slot, so that the other uses compensate for them.
"""


TURN_TIMEOUT_MS = 5_000
"""How long a use may leave its turn unused before the next use has its turn.

This is longer than the interval between any two ticks.
"""


class LogBudgetSettings(NamedTuple):
    """The share of the log's capacity that the system may use.

    :param log_appends_per_s: the capacity of the log for all its clients.
    :param share: the share of this capacity that the whole system may use.
    :param max_debt_appends: by how many slots urgent uses can postpone the others.
    :param start_hold_ms: how long a starting instance waits for others to appear in
        its view before it uses its own share.
    """

    log_appends_per_s: float = 300.0
    share: float = 0.1
    max_debt_appends: int = 20
    start_hold_ms: int = 10_000


class LogBudget:
    """Periodic time slots for one append each, at a random phase per instance.

    Instances do not coordinate: with *n* members each may use an *n*-th of the
    system's appends.  Unused slots do not accumulate.  A token bucket would be
    full on all instances when a failure makes all of them append at once, and
    the log would receive all these appends within one second; with slots at random
    phases it receives them evenly over one period.

    An instance that a network partition cuts off counts fewer members and uses
    a larger share, according to its view.

    :param settings: rates and limits.
    """

    def __init__(self, settings: LogBudgetSettings) -> None:
        self._settings = settings
        self._members = 1
        self._phase = 0.0
        self._started_ms: int | None = None
        self._slot_ms: float | None = None
        self._earliest_slot_ms = 0.0
        self._queue: list[str] = []
        self.appends_by_use: dict[str, int] = {}

    @property
    def appends_per_s(self) -> float:
        """This instance's share, in appends per second."""
        settings = self._settings
        return settings.log_appends_per_s * settings.share / self._members

    def set_members(self, count: int) -> None:
        """Set the number of alive members that share the system's appends.

        :param count: the members including this one; less than 1 counts as 1.
        """
        self._members = max(1, count)

    def set_phase(self, phase: float) -> None:
        """Set the position of the slots within the period.

        :param phase: a random number from 0 to 1.
        """
        self._phase = phase

    def acquire(self, use: str, now_ms: int) -> bool:
        """Return whether an append may be sent now, and count it if so.

        A use that has to wait calls this again at each tick.

        :param use: ``amendment``, ``lease``, ``claim``, ``snapshot`` or
            ``audit``.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        if use in URGENT_USES:
            self._postpone_next_slot(now_ms)
        elif not self._try_turn(use, now_ms):
            return False
        self.appends_by_use[use] = self.appends_by_use.get(use, 0) + 1
        return True

    @property
    def _period_ms(self) -> float:
        return MS_PER_S / self.appends_per_s

    def _postpone_next_slot(self, now_ms: int) -> None:
        latest_ms = now_ms + self._settings.max_debt_appends * self._period_ms
        self._earliest_slot_ms = max(self._earliest_slot_ms, now_ms) + self._period_ms
        self._earliest_slot_ms = min(self._earliest_slot_ms, latest_ms)

    def _try_turn(self, use: str, now_ms: int) -> bool:
        self._drop_missed_turn(now_ms)
        if use not in self._queue:
            self._queue.append(use)
        hold_until_ms = (self._started_ms or 0) + self._settings.start_hold_ms
        if now_ms < hold_until_ms:
            return False
        if self._slot_ms is None:
            self._slot_ms = self._find_slot(max(now_ms, self._earliest_slot_ms))
        if self._queue[0] != use or now_ms < self._slot_ms:
            return False
        self._queue.pop(0)
        self._slot_ms = None
        return True

    def _drop_missed_turn(self, now_ms: int) -> None:
        """Give the turn to the next use if the first no longer calls ``acquire``."""
        if self._slot_ms is not None and now_ms > self._slot_ms + TURN_TIMEOUT_MS:
            self._queue.pop(0)
            self._slot_ms = None

    def _find_slot(self, after_ms: float) -> float:
        """Return the time of the first slot after *after_ms*."""
        period_ms = self._period_ms
        periods = math.floor(after_ms / period_ms - self._phase) + 1
        return (periods + self._phase) * period_ms
