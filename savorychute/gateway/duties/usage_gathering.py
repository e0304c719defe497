"""What all instances told of the requests that endpoints began."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.duties.usage_told import UsageTold
    from savorychute.member_address import MemberAddress

    Run = tuple[str, int]


# Windows that are kept, the newest; reports of older ones are overdue.
WINDOWS_KEPT = 16
# A run that has told nothing for so long is over.
RUNS_KEPT_MS = 60_000


class UsageGathering:
    """Keeps the last word of each run of each instance, and adds them up.

    Several instances gather, so that one that takes the duty over has what was told to the
    holder before it, by instances that have ended since.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[Run, dict[str, int]]] = {}
        self._whole_until_ms: dict[Run, int] = {}

    def take(self, instance: str, told: UsageTold) -> None:
        """Take in what an instance tells.

        :param instance: which it is.
        :param told: all of its counts for some windows.
        """
        run = (instance, told.run)
        if told.whole_until_ms < self._whole_until_ms.get(run, 0):
            return  # An older message that was overtaken.
        self._whole_until_ms[run] = told.whole_until_ms
        for window, counts in told.windows:
            if window not in self._counts:
                self._forget_before(window, told.whole_until_ms)
            self._counts.setdefault(window, {})[run] = dict(counts)

    def is_whole(self, window_end_ms: int, members: Iterable[MemberAddress]) -> bool:
        """Return whether all members have told all of a window.

        :param window_end_ms: its end.
        :param members: the instances that are alive.
        """
        return all(
            self._whole_until_ms.get((each.instance, each.incarnation), 0)
            >= window_end_ms
            for each in members
        )

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window.

        :param window: its number.
        """
        total: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def _forget_before(self, newest: int, whole_until_ms: int) -> None:
        """Drop what no report is made of any more.

        :param newest: a window that was not known before.
        :param whole_until_ms: of the run that told it.
        """
        for window in [each for each in self._counts if each <= newest - WINDOWS_KEPT]:
            del self._counts[window]
        oldest_ms = whole_until_ms - RUNS_KEPT_MS
        for run, until_ms in list(self._whole_until_ms.items()):
            if until_ms < oldest_ms:
                del self._whole_until_ms[run]
