"""What the table keeps of one member."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_state import MemberState
from savorychute.membership.member_update import MemberUpdate  # noqa: TC001


class MemberRecord(NamedTuple):
    """The statement that holds, and since when.

    ``said_leaving`` says that this incarnation declared that it leaves, which
    a later suspicion of it does not take back.  ``listed_leaving`` says that
    the platform's list calls the member leaving.
    """

    update: MemberUpdate
    since_ms: int
    said_leaving: bool = False
    listed_leaving: bool = False

    @property
    def state(self) -> MemberState:
        """Return the state of the statement that holds."""
        return MemberState(self.update.state)

    @property
    def is_leaving(self) -> bool:
        """Return whether the member gets no new work because it goes away."""
        return self.said_leaving or self.listed_leaving
