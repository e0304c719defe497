"""How many appends an instance may cause."""

from __future__ import annotations

from typing import NamedTuple

MS_PER_S = 1_000
URGENT_USES = frozenset({'amendment', 'lease', 'claim'})
"""Uses that are never made to wait: a person, a lease or a request hangs on
each.  They run the budget into debt, and the others wait longer for it."""


class LogBudgetSettings(NamedTuple):
    """The system's part of the log.

    :param log_appends_per_s: what the log takes from everybody.
    :param share: the part of it that the whole system may use.
    :param burst_appends: how many one instance may save up.
    :param max_debt_appends: how far urgent uses run into debt.
    """

    log_appends_per_s: float = 300.0
    share: float = 0.1
    burst_appends: float = 4.0
    max_debt_appends: float = 20.0


class LogBudget:
    """A token bucket with an instance's equal part of the system's appends.

    No instance asks another: with *n* members each has an *n*-th, so together
    they keep within the share whatever each of them sees, as long as they see
    the others.  One that is cut off counts fewer members and so gets a larger
    part, up to what its view allows.

    :param settings: rates and bounds.
    """

    def __init__(self, settings: LogBudgetSettings) -> None:
        self._settings = settings
        self._members = 1
        self._balance = settings.burst_appends
        self._updated_ms: int | None = None
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

    def take(self, use: str, now_ms: int) -> bool:
        """Return whether an append may be sent now, and count it if so.

        :param use: ``amendment``, ``lease``, ``claim``, ``snapshot`` or
            ``audit``.
        """
        self._fill(now_ms)
        if use not in URGENT_USES and self._balance < 1:
            return False
        self._balance = max(self._balance - 1, -self._settings.max_debt_appends)
        self.appends_by_use[use] = self.appends_by_use.get(use, 0) + 1
        return True

    def _fill(self, now_ms: int) -> None:
        if self._updated_ms is not None:
            elapsed_s = max(0, now_ms - self._updated_ms) / MS_PER_S
            filled = self._balance + elapsed_s * self.appends_per_s
            self._balance = min(filled, self._settings.burst_appends)
        self._updated_ms = now_ms
