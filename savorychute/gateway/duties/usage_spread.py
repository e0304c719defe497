"""Tells what endpoints began here to the instances that may report it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer

if TYPE_CHECKING:
    from savorychute.gateway.duties.duty_candidates import DutyCandidates
    from savorychute.gateway.duties.usage_gathering import UsageGathering
    from savorychute.gateway.duties.usage_ledger import UsageLedger
    from savorychute.gateway.duties.usage_told import UsageTold
    from savorychute.member_address import MemberAddress

# An instance that is killed loses what it has not told.
TELL_MS = 1_000
# A new candidate is told all windows so often, since a datagram may be lost.
FULL_TURNS = 3


class UsageSpread:
    """Tells the counts of this instance, and takes in those of others.

    :param candidates: who is told.
    :param ledger: the counts of this instance.
    :param gathering: of all instances, as far as they are told here.
    """

    def __init__(
        self,
        candidates: DutyCandidates,
        ledger: UsageLedger,
        gathering: UsageGathering,
    ) -> None:
        self._candidates = candidates
        self._ledger = ledger
        self._gathering = gathering
        self._next_ms = 0
        # How often each candidate was told.
        self._told: dict[MemberAddress, int] = {}

    def tick(self, now_ms: int) -> list[SendPeer]:
        """Return what is due to be told.

        :param now_ms: the time.
        """
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + TELL_MS
        return self.tell()

    def tell(self) -> list[SendPeer]:
        """Tell now."""
        own = self._candidates.own
        if own is None or not self._ledger.is_kept:
            return []
        latest = self._ledger.told(own.incarnation, all_windows=False)
        every = self._ledger.told(own.incarnation, all_windows=True)
        self.take(own.instance, every)
        others = self._candidates.others
        actions = []
        for each in others:
            turns = self._told.get(each, 0)
            told = every if turns < FULL_TURNS else latest
            actions.append(SendPeer(each.instance, each.host, each.peer_port, told))
        self._told = {each: self._told.get(each, 0) + 1 for each in others}
        return actions

    def take(self, instance: str, told: UsageTold) -> None:
        """Take in what an instance tells.

        :param instance: which it is.
        :param told: its counts.
        """
        self._gathering.take(instance, told)
