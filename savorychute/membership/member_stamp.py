"""The version of a member's state, without its address."""

from __future__ import annotations

from typing import NamedTuple


class MemberStamp(NamedTuple):
    """The part of an update that is compared when two tables are reconciled."""

    instance: str
    incarnation: int
    counter: int
    state: int

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the same sort key as :attr:`MemberUpdate.precedence`."""
        return (self.incarnation, self.counter, self.state)
