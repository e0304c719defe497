"""How many appends an instance may cause."""

from __future__ import annotations

import math
from typing import NamedTuple

MS_PER_S = 1_000
URGENT_USES = frozenset({'amendment', 'lease', 'claim'})
"""Uses that are never made to wait: a person, a lease or a request hangs on
each.  They push the instance's next slot back, so that the others pay."""


TURN_PATIENCE_MS = 5_000
"""How long a use whose turn has come may leave it, longer than any tick."""


class LogBudgetSettings(NamedTuple):
    """The system's part of the log.

    :param log_appends_per_s: what the log takes from everybody.
    :param share: the part of it that the whole system may use.
    :param max_debt_appends: how many slots urgent uses may push back.
    :param start_hold_ms: how long an instance lets others appear in its view
        before it takes a part for itself.
    """

    log_appends_per_s: float = 300.0
    share: float = 0.1
    max_debt_appends: int = 20
    start_hold_ms: int = 10_000


class LogBudget:
    """Slots of time, one append each, that recur at the instance's own phase.

    No instance asks another: with *n* members each has an *n*-th of the
    system's appends.  Nothing is saved up for later.  A token bucket would be
    full on all instances when a failure makes all of them append at once, and
    the log would get them all in one second; with slots at phases drawn at
    random it gets them evenly over one period.

    An instance that is cut off counts fewer members and takes a larger part,
    up to what its view allows.

    :param settings: rates and bounds.
    """

    def __init__(self, settings: LogBudgetSettings) -> None:
        self._settings = settings
        self._members = 1
        self._phase = 0.0
        self._started_ms: int | None = None
        self._slot_ms: float | None = None
        self._earliest_ms = 0.0
        self._queue: list[str] = []
        self.appends_by_use: dict[str, int] = {}

    @property
    def appends_per_s(self) -> float:
        """This instance's part, in appends a second."""
        settings = self._settings
        return settings.log_appends_per_s * settings.share / self._members

    def set_members(self, count: int) -> None:
        """Divide by the number of members that are alive, with this one.

        :param count: at least 1; less counts as 1.
        """
        self._members = max(1, count)

    def set_phase(self, phase: float) -> None:
        """Choose where in the period the slots are.

        :param phase: drawn at random from 0 to 1.
        """
        self._phase = phase

    def take(self, use: str, now_ms: int) -> bool:
        """Return whether an append may be sent now, and count it if so.

        A use that is told to wait asks again at each tick.

        :param use: ``amendment``, ``lease``, ``claim``, ``snapshot`` or
            ``audit``.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        if use in URGENT_USES:
            self._push_back(now_ms)
        elif not self._wait_turn(use, now_ms):
            return False
        self.appends_by_use[use] = self.appends_by_use.get(use, 0) + 1
        return True

    @property
    def _period_ms(self) -> float:
        return MS_PER_S / self.appends_per_s

    def _push_back(self, now_ms: int) -> None:
        latest_ms = now_ms + self._settings.max_debt_appends * self._period_ms
        self._earliest_ms = max(self._earliest_ms, now_ms) + self._period_ms
        self._earliest_ms = min(self._earliest_ms, latest_ms)

    def _wait_turn(self, use: str, now_ms: int) -> bool:
        self._drop_missed_turn(now_ms)
        if use not in self._queue:
            self._queue.append(use)
        held_ms = (self._started_ms or 0) + self._settings.start_hold_ms
        if now_ms < held_ms:
            return False
        if self._slot_ms is None:
            self._slot_ms = self._find_slot(max(now_ms, self._earliest_ms))
        if self._queue[0] != use or now_ms < self._slot_ms:
            return False
        self._queue.pop(0)
        self._slot_ms = None
        return True

    def _drop_missed_turn(self, now_ms: int) -> None:
        """Let the next use have its turn if the first no longer asks."""
        if self._slot_ms is not None and now_ms > self._slot_ms + TURN_PATIENCE_MS:
            self._queue.pop(0)
            self._slot_ms = None

    def _find_slot(self, after_ms: float) -> float:
        """Return the first slot after a time."""
        period_ms = self._period_ms
        periods = math.floor(after_ms / period_ms - self._phase) + 1
        return (periods + self._phase) * period_ms
