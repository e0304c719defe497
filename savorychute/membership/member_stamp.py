"""A statement about a member without its address."""

from __future__ import annotations

from typing import NamedTuple


class MemberStamp(NamedTuple):
    """What is compared when two tables are brought together."""

    instance: str
    incarnation: int
    counter: int
    state: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the same order as :attr:`MemberUpdate.rank`."""
        return (self.incarnation, self.counter, self.state)
