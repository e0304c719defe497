"""The fold's recent decisions."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.configuration.verdict import Verdict

REMEMBERED_OFFSETS = 2_048
"""How far back verdicts are kept.

Part of the fold, because it decides which amendments are too old to be told
from a repetition; all instances must use the same number.
"""


class VerdictMemory:
    """Verdicts of the last :data:`REMEMBERED_OFFSETS` offsets."""

    def __init__(self, verdicts: Iterable[Verdict] = ()) -> None:
        self._verdicts: deque[Verdict] = deque(verdicts)
        self._by_record_id = {each.record_id: each for each in self._verdicts}

    def add(self, verdict: Verdict) -> None:
        """Remember a verdict.

        :param verdict: of a later offset than all before.
        """
        self._verdicts.append(verdict)
        if verdict.record_id:
            self._by_record_id[verdict.record_id] = verdict

    def forget_before(self, offset: int) -> None:
        """Forget the verdicts of offsets below *offset*."""
        while self._verdicts and self._verdicts[0].offset < offset:
            verdict = self._verdicts.popleft()
            self._by_record_id.pop(verdict.record_id, None)

    def find(self, record_id: str) -> Verdict | None:
        """Return the verdict on the record with this id, or None."""
        return self._by_record_id.get(record_id)

    def all(self) -> tuple[Verdict, ...]:
        """Return the verdicts in the order of their offsets."""
        return tuple(self._verdicts)

    def of_item(self, item: str) -> list[Verdict]:
        """Return the verdicts on amendments of *item*, oldest first."""
        return [each for each in self._verdicts if each.item == item]

    def rejected(self) -> list[Verdict]:
        """Return the verdicts on records that were rejected, oldest first."""
        return [each for each in self._verdicts if each.code is not ResultCode.OK]
