"""How often the store has come back from an older copy of itself."""

from __future__ import annotations

# Offsets of a topic stay far below the number that these bits hold.
OFFSET_BITS = 32


def number_in_era(era: int, offset: int) -> int:
    """Return a number that rises with eras, and in one era with offsets; at least 1.

    :param era: of the store.
    :param offset: of a topic in that era.
    """
    return (era << OFFSET_BITS) + offset + 1


class StoreEra:
    """The newest era that any answer of the store has named.

    A store may be away for a moment and come back from a copy some seconds old.  Offsets go
    back then and are given out again, so an offset says something only together with the
    era in which it was read.  Each return is a new era, with a larger number.
    """

    def __init__(self) -> None:
        self.current = 0

    def note(self, era: int) -> None:
        """Take in the era that an answer names.

        :param era: its number; answers may overtake each other.
        """
        self.current = max(self.current, era)
