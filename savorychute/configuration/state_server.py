"""Hand the whole state to other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.configuration_state import NO_OFFSET
from savorychute.configuration.snapshot_codec import encode_state, split_state

if TYPE_CHECKING:
    from savorychute.configuration.fold import ConfigurationFold
    from savorychute.configuration.record_ring import RecordRing

KEEP_MS = 30_000


class StateServer:
    """Keeps the encoded state for as long as somebody takes parts of it.

    It need not be the newest: who has it pulls the records since, so one
    encoding serves many, as when a whole failure domain starts again.

    :param part_bytes: size of a part.
    """

    def __init__(self, part_bytes: int) -> None:
        self._part_bytes = part_bytes
        self._parts: list[bytes] = []
        self._used_ms = 0
        self.offset = NO_OFFSET
        self.encodings = 0

    def part(self, number: int) -> bytes | None:
        """Return a part of the kept state, or None if there is none."""
        return self._parts[number] if 0 <= number < len(self._parts) else None

    @property
    def parts(self) -> int:
        """How many parts the kept state has."""
        return len(self._parts)

    def prepare(self, fold: ConfigurationFold, ring: RecordRing, now_ms: int) -> None:
        """Keep a state from which the newest can be reached.

        :param fold: the state in force.
        :param ring: the records that can be pulled.
        """
        self._used_ms = now_ms
        is_newest = self.offset == fold.state.offset
        if self._parts and (is_newest or ring.covers(self.offset)):
            return
        self._parts = split_state(encode_state(fold), self._part_bytes)
        self.offset = fold.state.offset
        self.encodings += 1

    def tick(self, now_ms: int) -> None:
        """Drop the encoded state when nobody takes parts of it any more."""
        if self._parts and now_ms - self._used_ms >= KEEP_MS:
            self._parts = []
            self.offset = NO_OFFSET
