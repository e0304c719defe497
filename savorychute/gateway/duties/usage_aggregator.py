"""Adds up the usage counts of all instances."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.duties.usage_told import UsageTold
    from savorychute.member_address import MemberAddress

    RunKey = tuple[str, int]


# The number of newest windows that are kept; reports of older ones are overdue.
MAX_WINDOWS = 16
# A run that has reported nothing for this time has ended.
RUN_EXPIRY_MS = 60_000


class UsageAggregator:
    """Keeps the latest counts of each run of each instance, and adds them up.

    Several instances aggregate, so that a new holder also has the counts of instances
    that reported to the previous holder and have ended since.
    """

    def __init__(self) -> None:
        self._counts: dict[int, dict[RunKey, dict[str, int]]] = {}
        self._complete_until_ms: dict[RunKey, int] = {}

    def apply(self, instance: str, message: UsageTold) -> None:
        """Apply the counts of an instance.

        :param instance: the name of the sender.
        :param message: all of its counts for some windows.
        """
        run = (instance, message.run)
        if message.whole_until_ms < self._complete_until_ms.get(run, 0):
            return  # An older message that arrived late.
        self._complete_until_ms[run] = message.whole_until_ms
        for window, counts in message.windows:
            if window not in self._counts:
                self._discard_old(window, message.whole_until_ms)
            self._counts.setdefault(window, {})[run] = dict(counts)

    def is_complete(self, window_end_ms: int, members: Iterable[MemberAddress]) -> bool:
        """Return whether all members have reported their counts up to a window's end.

        :param window_end_ms: the end of the window.
        :param members: the instances that are alive.
        """
        return all(
            self._complete_until_ms.get((each.instance, each.incarnation), 0)
            >= window_end_ms
            for each in members
        )

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window.

        :param window: the number of the window.
        """
        total: Counter[str] = Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def _discard_old(self, newest: int, complete_until_ms: int) -> None:
        """Discard state that no future report uses.

        :param newest: a window that was not known before.
        :param complete_until_ms: the time until which the run that reported it is
            complete.
        """
        for window in [each for each in self._counts if each <= newest - MAX_WINDOWS]:
            del self._counts[window]
        oldest_ms = complete_until_ms - RUN_EXPIRY_MS
        for run, until_ms in list(self._complete_until_ms.items()):
            if until_ms < oldest_ms:
                del self._complete_until_ms[run]
