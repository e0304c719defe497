"""The table's record of one member."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.membership.member_state import MemberState
from savorychute.membership.member_update import MemberUpdate  # noqa: TC001


class MemberRecord(NamedTuple):
    """The current update of a member, and the time from which it holds.

    ``announced_leaving`` is set if this incarnation announced that it leaves; a
    later suspicion does not revoke that.  ``listed_leaving`` is set if the platform's
    list marks the member as leaving.
    """

    update: MemberUpdate
    since_ms: int
    announced_leaving: bool = False
    listed_leaving: bool = False

    @property
    def state(self) -> MemberState:
        """Return the state in the current update."""
        return MemberState(self.update.state)

    @property
    def is_leaving(self) -> bool:
        """Return whether the member is leaving and gets no new work."""
        return self.announced_leaving or self.listed_leaving
