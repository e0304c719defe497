"""Transfer of the whole state to other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.configuration_state import NO_OFFSET
from savorychute.configuration.snapshot_codec import encode_state, split_state

if TYPE_CHECKING:
    from savorychute.configuration.fold import ConfigurationFold
    from savorychute.configuration.record_ring import RecordRing

RETENTION_MS = 30_000


class StateServer:
    """Retains the encoded state while other instances request parts of it.

    The state need not be the newest, because its receiver pulls the records that
    follow it.  One encoding therefore serves many instances, for example when a whole
    failure domain restarts.

    :param part_bytes: the size of a part.
    """

    def __init__(self, part_bytes: int) -> None:
        self._part_bytes = part_bytes
        self._parts: list[bytes] = []
        self._last_used_ms = 0
        self.offset = NO_OFFSET
        self.encodings = 0

    def part(self, number: int) -> bytes | None:
        """Return a part of the retained state, or None if it does not exist."""
        return self._parts[number] if 0 <= number < len(self._parts) else None

    @property
    def parts(self) -> int:
        """The number of parts of the retained state."""
        return len(self._parts)

    def prepare(self, fold: ConfigurationFold, ring: RecordRing, now_ms: int) -> None:
        """Encode the state unless the retained one can still be brought up to date.

        :param fold: the fold with the state in force.
        :param ring: the records that other instances can pull.
        """
        self._last_used_ms = now_ms
        is_newest = self.offset == fold.state.offset
        if self._parts and (is_newest or ring.covers(self.offset)):
            return
        self._parts = split_state(encode_state(fold), self._part_bytes)
        self.offset = fold.state.offset
        self.encodings += 1

    def tick(self, now_ms: int) -> None:
        """Discard the encoded state when no instance requests parts of it any more."""
        if self._parts and now_ms - self._last_used_ms >= RETENTION_MS:
            self._parts = []
            self.offset = NO_OFFSET
