"""Counts the requests that endpoints started to run for this instance."""

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

# The longest time after which the start of a request is known.
START_REPORT_DELAY_MS = 500
# The counts of a window that ended longer ago are final, and were sent several times.
RESEND_PERIOD_MS = 3_000


class UsageCounter:
    """Counts requests by the window of true time in which an endpoint started them.

    :param windows: the windows; None if usage is not reported.
    :param true_time: the true time.
    """

    def __init__(self, windows: UsageWindows | None, true_time: TrueTime) -> None:
        self._windows = windows
        self._true_time = true_time
        self._counts: dict[int, Counter[str]] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether usage is reported."""
        return self._windows is not None

    def record_start(self, organisation: str, started_ms: int) -> None:
        """Count a request.

        :param organisation: the organisation of the request; empty for callers without
            a key.
        :param started_ms: when the endpoint started it, on the monotonic clock.
        """
        if self._windows is None or not organisation:
            return
        window = self._windows.window_at(self._true_time.at_ms(started_ms))
        self._counts.setdefault(window, Counter())[organisation] += 1

    def make_message(self, incarnation: int, *, all_windows: bool) -> UsageTold:
        """Return the counts of the windows whose reports are not overdue.

        :param incarnation: the incarnation of this instance.
        :param all_windows: whether to include all of these windows, for a receiver that
            has none of them yet; otherwise only the latest ones.
        """
        assert self._windows is not None
        now_ms = self._true_time.now_ms()
        first_window = self._windows.reportable(now_ms).start
        for window in [each for each in self._counts if each < first_window]:
            del self._counts[window]
        if not all_windows:
            first_window = self._windows.window_at(now_ms - RESEND_PERIOD_MS)
        windows = tuple(
            WindowCounts(
                window,
                tuple(OrganisationCount(*each) for each in sorted(counts.items())),
            )
            for window, counts in sorted(self._counts.items())
            if window >= first_window
        )
        return UsageTold(incarnation, now_ms - START_REPORT_DELAY_MS, windows)
