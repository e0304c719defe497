"""Which instances poll the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

POLLER_KEY = 'configuration-poller'


class PollerDuty:
    """Whether this instance polls the log for its failure domain.

    Rendezvous hashing over the domain's members chooses.  Two views that
    differ for a moment have a poller more or less, which only changes how soon
    news is read.

    :param count: how many members of a failure domain poll.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._alive: tuple[MemberAddress, ...] = ()
        self._polls = True

    def has_duty(self, view: MemberView) -> bool:
        """Return whether this instance polls.

        :param view: the members; looked through only when they changed.
        """
        if view.alive is not self._alive:
            self._alive = view.alive
            self._polls = self._choose(view)
        return self._polls

    def _choose(self, view: MemberView) -> bool:
        own = view.own
        domain = [
            member
            for member in view.alive
            if member.failure_domain == own.failure_domain
        ]
        pollers = choose_homes(POLLER_KEY, domain, self._count, spread=False)
        return not pollers or any(each.instance == own.instance for each in pollers)
