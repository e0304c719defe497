"""Decides the next steps of the holder of the duties for usage reports."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.usage_report import UsageReport, make_usage_report

if TYPE_CHECKING:
    from collections.abc import Collection

    from savorychute.gateway.duties.duty_records import DutyRecords
    from savorychute.gateway.duties.usage_aggregator import UsageAggregator
    from savorychute.gateway.duties.usage_windows import UsageWindows
    from savorychute.member_address import MemberAddress

# Share of the time until a report is due for which the holder waits for instances with
# incomplete counts, because they are paused, slow or have ended without leaving.
REPORT_WAIT_SHARE = 0.5
# The delay between two attempts for the same window.
STEP_RETRY_MS = 300


class StepKind(Enum):
    """The kind of a step for a window."""

    SETTLE = auto()
    SEND = auto()


class UsageStep(NamedTuple):
    """A step for a window; ``age_ms`` is the time since the end of the window."""

    kind: StepKind
    report: UsageReport
    age_ms: int


class UsageDuty:
    """Sends one report of each window to the platform across changes of the holder.

    A report is settled in the store before it is first sent, and every holder sends
    only the settled report. This prevents the following fault: the holder sends a
    report, the response is lost and the holder ends. Its successor has different
    counts, because an instance has ended or has reported more since, and the platform
    gets two different reports for one window.

    :param windows: the windows.
    :param records: the settled reports.
    :param aggregator: the counts received from all instances.
    """

    def __init__(
        self, windows: UsageWindows, records: DutyRecords, aggregator: UsageAggregator
    ) -> None:
        self._windows = windows
        self._records = records
        self._aggregator = aggregator
        self._accepted: set[int] = set()
        self._in_progress: set[int] = set()
        self._next_attempt_ms: dict[int, int] = {}
        # When this instance started to collect counts, in true time.
        self._started_ms: int | None = None

    def due_steps(
        self, members: Collection[MemberAddress], true_ms: int, now_ms: int
    ) -> list[UsageStep]:
        """Return the steps that are due; report each result with :meth:`step_ended`.

        :param members: the instances that are alive.
        :param true_ms: the current true time.
        :param now_ms: the current time.
        """
        if self._started_ms is None:
            self._started_ms = true_ms
        windows = self._windows.reportable(true_ms)
        self._discard_before(windows.start)
        steps = []
        for window in windows:
            if window in self._accepted or window in self._in_progress:
                continue
            if now_ms < self._next_attempt_ms.get(window, now_ms):
                continue
            step = self._next_step(window, members, true_ms)
            if step is not None:
                self._in_progress.add(window)
                steps.append(step)
        return steps

    def step_ended(self, step: UsageStep, outcome: DutyOutcome, now_ms: int) -> None:
        """Record the result of a step.

        :param step: the step.
        :param outcome: its outcome; a settled report counts as accepted.
        :param now_ms: the current time.
        """
        window = step.report.window
        self._in_progress.discard(window)
        if outcome is not DutyOutcome.ACCEPTED:
            self._next_attempt_ms[window] = now_ms + STEP_RETRY_MS
        elif step.kind is StepKind.SEND:
            self._accepted.add(window)

    def _next_step(
        self, window: int, members: Collection[MemberAddress], true_ms: int
    ) -> UsageStep | None:
        end_ms = self._windows.end_ms(window)
        age_ms = true_ms - end_ms
        report = self._records.settled_report(window)
        if report is not None:
            return UsageStep(StepKind.SEND, report, age_ms)
        if not self._records.can_settle(end_ms):
            return None
        has_waited = age_ms >= REPORT_WAIT_SHARE * self._windows.due_ms
        if not has_waited and not self._aggregator.is_complete(end_ms, members):
            return None
        total = self._aggregator.total(window)
        if not total and (self._started_ms is None or end_ms < self._started_ms):
            # All instances that counted it have ended; an empty report would be wrong.
            return None
        return UsageStep(StepKind.SETTLE, make_usage_report(window, total), age_ms)

    def _discard_before(self, first_window: int) -> None:
        self._accepted = {each for each in self._accepted if each >= first_window}
        self._next_attempt_ms = {
            window: next_attempt_ms
            for window, next_attempt_ms in self._next_attempt_ms.items()
            if window >= first_window
        }
