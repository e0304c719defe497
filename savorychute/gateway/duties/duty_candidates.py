"""Which instances may hold the duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

CANDIDATE_KEY = 'duties'
# One may be killed and a second cut off at the same time.
CANDIDATES = 3


class DutyCandidates:
    """A few instances, the same for all, so that the others need not read claims."""

    def __init__(self) -> None:
        self._view: MemberView | None = None
        self._chosen: tuple[MemberAddress, ...] = ()

    def follow(self, view: MemberView) -> None:
        """Choose anew if the members have changed.

        :param view: the members.
        """
        if view is self._view:
            return
        self._view = view
        alive = [each for each in view.alive if each.instance not in view.suspects]
        self._chosen = choose_homes(CANDIDATE_KEY, alive, CANDIDATES)

    @property
    def own(self) -> MemberAddress | None:
        """This instance, None before it knows the others."""
        return self._view.own if self._view is not None else None

    @property
    def is_candidate(self) -> bool:
        """Whether this instance may hold the duties."""
        return self.own in self._chosen

    @property
    def others(self) -> list[MemberAddress]:
        """The candidates besides this instance."""
        return [each for each in self._chosen if each != self.own]

    @property
    def members(self) -> tuple[MemberAddress, ...]:
        """The instances that are alive, as far as this one knows."""
        return self._view.alive if self._view is not None else ()
