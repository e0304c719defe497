"""The requests that endpoints began for this instance."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from savorychute.gateway.duties.usage_told import (
    OrganisationCount,
    UsageTold,
    WindowCounts,
)

if TYPE_CHECKING:
    from savorychute.gateway.duties.true_time import TrueTime
    from savorychute.gateway.duties.usage_windows import UsageWindows

# When a request began is known for sure this long after, at the latest.
LATE_MS = 500
# A window that ended longer ago changes no more, and was told several times.
REPEATED_MS = 3_000


class UsageLedger:
    """Counts requests by the window of true time in which an endpoint began them.

    :param windows: the windows; None where nobody wants to know.
    :param time: the true time.
    """

    def __init__(self, windows: UsageWindows | None, time: TrueTime) -> None:
        self._windows = windows
        self._time = time
        self._counts: dict[int, Counter[str]] = {}

    @property
    def is_kept(self) -> bool:
        """Whether anybody wants to know."""
        return self._windows is not None

    def began(self, organisation: str, at_ms: int) -> None:
        """Count a request.

        :param organisation: that it is for; empty for callers without a key.
        :param at_ms: when the endpoint began, on the steady clock.
        """
        if self._windows is None or not organisation:
            return
        window = self._windows.at(self._time.at_ms(at_ms))
        self._counts.setdefault(window, Counter())[organisation] += 1

    def told(self, run: int, *, all_windows: bool) -> UsageTold:
        """Return what to tell of the windows whose reports are not overdue.

        :param run: this instance's incarnation.
        :param all_windows: for one that has not been told yet; else the latest ones.
        """
        assert self._windows is not None
        now_ms = self._time.now_ms()
        first = self._windows.reportable(now_ms).start
        for window in [each for each in self._counts if each < first]:
            del self._counts[window]
        if not all_windows:
            first = self._windows.at(now_ms - REPEATED_MS)
        windows = tuple(
            WindowCounts(
                window,
                tuple(OrganisationCount(*each) for each in sorted(counts.items())),
            )
            for window, counts in sorted(self._counts.items())
            if window >= first
        )
        return UsageTold(run, now_ms - LATE_MS, windows)
