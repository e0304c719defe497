"""Take over the whole state from another instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.snapshot_assembler import MAX_PARTS
from savorychute.configuration.state_request import StateRequest

if TYPE_CHECKING:
    from savorychute.configuration.state_part import StatePart

PARTS_IN_FLIGHT = 4


class StateFetch:
    """One transfer from one instance.

    :param source: the instance that sends.
    :param first: the part that began it.
    :param timeout_ms: after this long a part is asked for again.
    """

    def __init__(self, source: str, first: StatePart, timeout_ms: int) -> None:
        self.source = source
        self.offset = first.offset
        self._parts = first.parts
        self._timeout_ms = timeout_ms
        self._slices: dict[int, bytes] = {}
        self._asked_ms: dict[int, int] = {}
        self.progress_ms = 0

    @staticmethod
    def is_sane(part: StatePart) -> bool:
        """Return whether a part's numbers can be right."""
        return 0 <= part.part < part.parts <= MAX_PARTS

    @property
    def is_complete(self) -> bool:
        """Whether no part is missing."""
        return len(self._slices) == self._parts

    def data(self) -> bytes:
        """Return the compressed state; all parts must be there."""
        return b''.join(self._slices[part] for part in range(self._parts))

    def take(self, sender: str, part: StatePart, now_ms: int) -> bool:
        """Take in a part, and return whether it belongs to this transfer.

        :param sender: who sent it.
        :param part: the part.
        """
        if (sender, part.offset, part.parts) != (
            self.source,
            self.offset,
            self._parts,
        ):
            return False
        self._slices[part.part] = part.data
        self._asked_ms.pop(part.part, None)
        self.progress_ms = now_ms
        return True

    def requests(self, now_ms: int) -> list[StateRequest]:
        """Return requests for the next missing parts, a few at a time."""
        in_flight = [
            part
            for part, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < self._timeout_ms
        ]
        wanted = [
            part
            for part in range(self._parts)
            if part not in self._slices and part not in in_flight
        ]
        room = max(0, PARTS_IN_FLIGHT - len(in_flight))
        for part in wanted[:room]:
            self._asked_ms[part] = now_ms
        return [StateRequest(self.offset, part) for part in wanted[:room]]
