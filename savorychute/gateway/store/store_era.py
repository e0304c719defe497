"""Counts how often the store was restored from an older copy of itself."""

from __future__ import annotations

# Offsets of a topic always fit into this number of bits.
OFFSET_BITS = 32


def number_in_era(era: int, offset: int) -> int:
    """Return a number of at least 1 that grows with the era, then with the offset.

    :param era: the era of the store.
    :param offset: the offset in a topic in that era.
    """
    return (era << OFFSET_BITS) + offset + 1


class StoreEra:
    """The newest era that any response of the store has named.

    A store may be down for a moment and be restored from a copy that is some seconds
    old. Offsets then go back and are reused, so an offset is meaningful only together
    with the era in which it was read. Each restore starts a new era with a larger
    number.
    """

    def __init__(self) -> None:
        self.current = 0

    def record(self, era: int) -> None:
        """Record the era that a response names.

        :param era: its number; responses may arrive out of order.
        """
        self.current = max(self.current, era)
