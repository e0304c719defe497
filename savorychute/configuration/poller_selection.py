"""Selection of the instances that poll the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

POLLER_KEY = 'configuration-poller'


class PollerSelection:
    """Determines whether this instance polls the log for its failure domain.

    The pollers are selected by rendezvous hashing over the members of the domain.
    While the views of two instances differ, there may be one poller too many or too
    few, which only affects how soon new records are read.

    :param count: the number of pollers in a failure domain.
    """

    def __init__(self, count: int) -> None:
        self._count = count
        self._alive: tuple[MemberAddress, ...] = ()
        self._is_poller = True

    def is_poller(self, view: MemberView) -> bool:
        """Return whether this instance is a poller.

        :param view: the current members; evaluated only when they changed.
        """
        if view.alive is not self._alive:
            self._alive = view.alive
            self._is_poller = self._choose(view)
        return self._is_poller

    def _choose(self, view: MemberView) -> bool:
        own = view.own
        domain_members = [
            member
            for member in view.alive
            if member.failure_domain == own.failure_domain
        ]
        pollers = choose_homes(POLLER_KEY, domain_members, self._count, spread=False)
        return not pollers or any(each.instance == own.instance for each in pollers)
