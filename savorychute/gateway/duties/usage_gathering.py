"""What all instances told of the requests that endpoints began."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.duties.usage_told import UsageTold
    from savorychute.member_address import MemberAddress

    Run = tuple[str, int]


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

    def forget(self, first_window: int, oldest_ms: int) -> None:
        """Drop what no report is made of any more.

        :param first_window: the oldest one that may still be reported.
        :param oldest_ms: runs that have told nothing since are over.
        """
        for window in [each for each in self._counts if each < first_window]:
            del self._counts[window]
        for run, until_ms in list(self._whole_until_ms.items()):
            if until_ms < oldest_ms:
                del self._whole_until_ms[run]
