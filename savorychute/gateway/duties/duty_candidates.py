"""Selects the instances that may hold the duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

CANDIDATE_KEY = 'duties'
# One candidate may be killed and a second one disconnected at the same time.
CANDIDATE_COUNT = 3


class DutyCandidates:
    """Selects a few candidates, the same on every instance.

    The other instances need not read the topic of claims.
    """

    def __init__(self) -> None:
        self._view: MemberView | None = None
        self._candidates: tuple[MemberAddress, ...] = ()

    def set_view(self, view: MemberView) -> None:
        """Select the candidates again if the members have changed.

        :param view: the current members.
        """
        if view is self._view:
            return
        self._view = view
        alive = [each for each in view.alive if each.instance not in view.suspects]
        self._candidates = choose_homes(CANDIDATE_KEY, alive, CANDIDATE_COUNT)

    @property
    def own_address(self) -> MemberAddress | None:
        """The address of this instance; None before the members are known."""
        return self._view.own if self._view is not None else None

    @property
    def is_candidate(self) -> bool:
        """Whether this instance may hold the duties."""
        return self.own_address in self._candidates

    @property
    def other_candidates(self) -> list[MemberAddress]:
        """The candidates other than this instance."""
        return [each for each in self._candidates if each != self.own_address]

    @property
    def alive_members(self) -> tuple[MemberAddress, ...]:
        """The members that are alive according to the current view."""
        return self._view.alive if self._view is not None else ()
