"""Selection of gaps between events that show the speed of generation."""

from __future__ import annotations

# One of this many gaps counts: the second shortest.  Longer ones may contain a prefill;
# the shortest may follow an event that was delayed on its way.
GAPS_PER_SAMPLE = 4
# The next longer gap must be about as long: an engine without prefills is regular.
MAX_IRREGULARITY = 1.6
# Events with a shorter gap arrived in one piece of the body.
MIN_GAP_MS = 5


class GapSampler:
    """Collects the gaps of one stream at an engine that was last seen without prefills."""

    __slots__ = ('_cell', '_gaps')

    def __init__(self) -> None:
        self._cell = -1
        self._gaps: list[int] = []

    def add(self, gap_ms: int, cell: int) -> int | None:
        """Add a gap; return the one that counts of the last few, or None.

        :param gap_ms: the gap.
        :param cell: the cell of comparable gaps; another one starts anew.
        """
        if gap_ms < MIN_GAP_MS:
            return None
        if cell != self._cell:
            self._cell = cell
            self._gaps.clear()
        self._gaps.append(gap_ms)
        if len(self._gaps) < GAPS_PER_SAMPLE:
            return None
        _, sample_ms, longer_ms, _ = sorted(self._gaps)
        self._gaps.clear()
        return sample_ms if longer_ms <= MAX_IRREGULARITY * sample_ms else None
