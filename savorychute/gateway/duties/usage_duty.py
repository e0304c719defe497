"""What the holder of the duties does next about usage reports."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.duties.duty_order import DutyOutcome
from savorychute.gateway.duties.usage_report import UsageReport, make_report

if TYPE_CHECKING:
    from collections.abc import Collection

    from savorychute.gateway.duties.duty_records import DutyRecords
    from savorychute.gateway.duties.usage_gathering import UsageGathering
    from savorychute.gateway.duties.usage_windows import UsageWindows
    from savorychute.member_address import MemberAddress

# Part of the time until a report is due for which the holder waits for instances that have
# not told all, because they are paused, slow or gone without a word.
WAIT_SHARE = 0.5
# Between two tries of the same window.
RETRY_MS = 300


class StepKind(Enum):
    """What is done about a window."""

    SETTLE = auto()
    SEND = auto()


class UsageStep(NamedTuple):
    """A step about a window; ``age_ms`` is how long ago the window ended."""

    kind: StepKind
    report: UsageReport
    age_ms: int


class UsageDuty:
    """Brings each window's report to the platform once, whoever holds the duty.

    A report is settled in the store before it is first sent, and whoever sends it sends
    what is settled.  The failure this prevents: the holder sends a report, the answer is
    lost and the holder ends; its successor has other counts, because an instance has ended
    or told more since, and the platform has two reports for one window.

    :param windows: the windows.
    :param records: what is settled.
    :param gathering: what instances have told.
    """

    def __init__(
        self, windows: UsageWindows, records: DutyRecords, gathering: UsageGathering
    ) -> None:
        self._windows = windows
        self._records = records
        self._gathering = gathering
        self._accepted: set[int] = set()
        self._busy: set[int] = set()
        self._next_ms: dict[int, int] = {}
        # Since when this instance gathers counts, in true time.
        self._since_ms: int | None = None

    def steps(
        self, members: Collection[MemberAddress], true_ms: int, now_ms: int
    ) -> list[UsageStep]:
        """Return what is due; each step must be ended by :meth:`step_ended`.

        :param members: the instances that are alive.
        :param true_ms: the true time.
        :param now_ms: the time.
        """
        if self._since_ms is None:
            self._since_ms = true_ms
        windows = self._windows.reportable(true_ms)
        self._forget(windows.start)
        steps = []
        for window in windows:
            if window in self._accepted or window in self._busy:
                continue
            if now_ms < self._next_ms.get(window, now_ms):
                continue
            step = self._step(window, members, true_ms)
            if step is not None:
                self._busy.add(window)
                steps.append(step)
        return steps

    def step_ended(self, step: UsageStep, outcome: DutyOutcome, now_ms: int) -> None:
        """Take in how a step ended.

        :param step: the step.
        :param outcome: a settled report counts as accepted.
        :param now_ms: the time.
        """
        window = step.report.window
        self._busy.discard(window)
        if outcome is not DutyOutcome.ACCEPTED:
            self._next_ms[window] = now_ms + RETRY_MS
        elif step.kind is StepKind.SEND:
            self._accepted.add(window)

    def _step(
        self, window: int, members: Collection[MemberAddress], true_ms: int
    ) -> UsageStep | None:
        end_ms = self._windows.end_ms(window)
        age_ms = true_ms - end_ms
        report = self._records.settled(window)
        if report is not None:
            return UsageStep(StepKind.SEND, report, age_ms)
        if not self._records.may_settle(end_ms):
            return None
        waited = age_ms >= WAIT_SHARE * self._windows.due_ms
        if not waited and not self._gathering.is_whole(end_ms, members):
            return None
        total = self._gathering.total(window)
        if not total and (self._since_ms is None or end_ms < self._since_ms):
            # All who counted it have ended, and nothing would be an untrue report.
            return None
        return UsageStep(StepKind.SETTLE, make_report(window, total), age_ms)

    def _forget(self, first: int) -> None:
        self._accepted = {each for each in self._accepted if each >= first}
        self._next_ms = {
            window: next_ms
            for window, next_ms in self._next_ms.items()
            if window >= first
        }
