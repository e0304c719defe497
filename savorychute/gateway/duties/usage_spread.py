"""Tells what endpoints began here to the instances that may report it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from savorychute.gateway.duties.usage_gathering import UsageGathering
    from savorychute.gateway.duties.usage_ledger import UsageLedger
    from savorychute.gateway.duties.usage_told import UsageTold
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

CANDIDATE_KEY = 'duties'
# One may be killed and a second cut off at the same time.
CANDIDATES = 3
# An instance that is killed loses what it has not told.
TELL_MS = 1_000


class UsageSpread:
    """Chooses who may hold the duties, and tells these instances the counts.

    :param ledger: the counts of this instance.
    :param gathering: of all instances, as far as they are told here.
    """

    def __init__(self, ledger: UsageLedger, gathering: UsageGathering) -> None:
        self._ledger = ledger
        self._gathering = gathering
        self._next_ms = 0
        self._view: MemberView | None = None
        self._candidates: tuple[MemberAddress, ...] = ()

    @property
    def is_candidate(self) -> bool:
        """Whether this instance may hold the duties."""
        return self._view is not None and self._view.own in self._candidates

    @property
    def members(self) -> tuple[MemberAddress, ...]:
        """The instances that are alive, as far as this one knows."""
        return self._view.alive if self._view is not None else ()

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Return what is due to be told.

        :param view: the members.
        :param now_ms: the time.
        """
        if view is not self._view:
            self._view = view
            alive = [each for each in view.alive if each.instance not in view.suspects]
            self._candidates = choose_homes(CANDIDATE_KEY, alive, CANDIDATES)
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + TELL_MS
        return self.tell()

    def tell(self) -> list[SendPeer]:
        """Tell now."""
        if self._view is None:
            return []
        own = self._view.own
        told = self._ledger.told(own.incarnation)
        self.take(own.instance, told)
        return [
            SendPeer(each.instance, each.host, each.peer_port, told)
            for each in self._candidates
            if each != own
        ]

    def take(self, instance: str, told: UsageTold) -> None:
        """Take in what an instance tells.

        :param instance: which it is.
        :param told: its counts.
        """
        self._gathering.take(instance, told)
