"""Recent decisions of the fold."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.configuration.verdict import Verdict

REMEMBERED_OFFSETS = 2_048
"""The number of offsets for which verdicts are retained.

All instances must use the same number, because the fold rejects amendments that are
too old to be distinguished from a repeated record.
"""


class VerdictMemory:
    """Verdicts of the last :data:`REMEMBERED_OFFSETS` offsets."""

    def __init__(self, verdicts: Iterable[Verdict] = ()) -> None:
        self._verdicts: deque[Verdict] = deque(verdicts)
        self._by_record_id = {each.record_id: each for each in self._verdicts}

    def add(self, verdict: Verdict) -> None:
        """Add a verdict.

        :param verdict: a verdict on a later offset than all before.
        """
        self._verdicts.append(verdict)
        if verdict.record_id:
            self._by_record_id[verdict.record_id] = verdict

    def discard_before(self, offset: int) -> None:
        """Discard the verdicts on offsets below *offset*."""
        while self._verdicts and self._verdicts[0].offset < offset:
            verdict = self._verdicts.popleft()
            self._by_record_id.pop(verdict.record_id, None)

    def find(self, record_id: str) -> Verdict | None:
        """Return the verdict on the record with this id, or None."""
        return self._by_record_id.get(record_id)

    def all(self) -> tuple[Verdict, ...]:
        """Return the verdicts in the order of their offsets."""
        return tuple(self._verdicts)

    def for_item(self, item: str) -> list[Verdict]:
        """Return the verdicts on amendments of *item*, oldest first."""
        return [each for each in self._verdicts if each.item == item]

    def rejected(self) -> list[Verdict]:
        """Return the verdicts on records that were rejected, oldest first."""
        return [each for each in self._verdicts if each.code is not ResultCode.OK]
