"""An update of one member's state."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.member_address import MemberAddress  # noqa: TC001
from savorychute.membership.member_state import MemberState


class MemberUpdate(NamedTuple):
    """A member's state as carried in messages between instances.

    ``counter`` is raised by the member alone, to refute a suspicion of its
    current incarnation.  ``state`` is a :class:`MemberState` as a plain int.
    """

    address: MemberAddress
    counter: int = 0
    state: int = int(MemberState.ALIVE)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key of updates of one member; the largest one is kept."""
        return (self.address.incarnation, self.counter, self.state)
