"""Transfer of the whole state from another instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.snapshot_assembler import MAX_PARTS
from savorychute.configuration.state_request import StateRequest

if TYPE_CHECKING:
    from savorychute.configuration.state_part import StatePart

PARTS_IN_FLIGHT = 4


class StateFetch:
    """One transfer from one instance.

    :param source: the instance that sends the state.
    :param first: the first part that arrived.
    :param timeout_ms: time after which a part is requested again.
    """

    def __init__(self, source: str, first: StatePart, timeout_ms: int) -> None:
        self.source = source
        self.offset = first.offset
        self._parts = first.parts
        self._timeout_ms = timeout_ms
        self._slices: dict[int, bytes] = {}
        self._requested_ms: dict[int, int] = {}
        self.progress_ms = 0

    @staticmethod
    def is_valid(part: StatePart) -> bool:
        """Return whether the numbers of a part are consistent."""
        return 0 <= part.part < part.parts <= MAX_PARTS

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self._slices) == self._parts

    def data(self) -> bytes:
        """Return the compressed state; all parts must have arrived."""
        return b''.join(self._slices[part] for part in range(self._parts))

    def add_part(self, sender: str, part: StatePart, now_ms: int) -> bool:
        """Add a part, and return whether it belongs to this transfer.

        :param sender: the instance that sent the part.
        :param part: the part.
        """
        if (sender, part.offset, part.parts) != (
            self.source,
            self.offset,
            self._parts,
        ):
            return False
        self._slices[part.part] = part.data
        self._requested_ms.pop(part.part, None)
        self.progress_ms = now_ms
        return True

    def requests(self, now_ms: int) -> list[StateRequest]:
        """Return requests for the next missing parts, a few at a time."""
        in_flight = [
            part
            for part, requested_ms in self._requested_ms.items()
            if now_ms - requested_ms < self._timeout_ms
        ]
        missing = [
            part
            for part in range(self._parts)
            if part not in self._slices and part not in in_flight
        ]
        free_slots = max(0, PARTS_IN_FLIGHT - len(in_flight))
        for part in missing[:free_slots]:
            self._requested_ms[part] = now_ms
        return [StateRequest(self.offset, part) for part in missing[:free_slots]]
