"""How often the store has come back from an older copy of itself."""

from __future__ import annotations


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
