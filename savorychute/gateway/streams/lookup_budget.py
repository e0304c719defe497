"""Limits how many unknown streams each organisation can make instances look for."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from savorychute.clock import MS_PER_S

# After a loss of all instances each one is asked for some dozens of streams at once.
MAX_LOOKUPS = 60.0
LOOKUPS_PER_S = 20.0
MAX_OWNERS = 4_096


class _Level(NamedTuple):
    lookups: float
    at_ms: int


class LookupBudget:
    """A token bucket for each organisation.

    Each lookup asks many instances, and a caller may name any number of streams that
    nobody has begun.
    """

    def __init__(self) -> None:
        self._levels: OrderedDict[bytes, _Level] = OrderedDict()

    def acquire(self, owner: bytes, now_ms: int) -> bool:
        """Return whether another lookup may be made.

        :param owner: identifies the organisation.
        :param now_ms: the current time.
        """
        level = self._levels.pop(owner, _Level(MAX_LOOKUPS, now_ms))
        gained = (now_ms - level.at_ms) * LOOKUPS_PER_S / MS_PER_S
        lookups = min(MAX_LOOKUPS, level.lookups + gained)
        granted = lookups >= 1
        self._levels[owner] = _Level(lookups - granted, now_ms)
        if len(self._levels) > MAX_OWNERS:
            self._levels.popitem(last=False)
        return granted
