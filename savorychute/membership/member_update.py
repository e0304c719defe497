"""One statement about one member."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.member_address import MemberAddress  # noqa: TC001
from savorychute.membership.member_state import MemberState


class MemberUpdate(NamedTuple):
    """A member's state, as the messages between instances carry it.

    ``counter`` is raised by the member alone, to refute a suspicion of its
    running incarnation.  ``state`` is a :class:`MemberState` as a plain int.
    """

    address: MemberAddress
    counter: int = 0
    state: int = int(MemberState.ALIVE)

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the order of statements on one member; the largest holds."""
        return (self.address.incarnation, self.counter, self.state)
