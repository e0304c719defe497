"""Who counts for a majority."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.limits.settings import LimitSettings
    from savorychute.membership import MemberView

NEVER_MS = -1

#: After how many detection times all must have seen a member.
SETTLE_DETECTIONS = 2


class Electorate:
    """Decides whether this side of a possible cut may grant.

    *Voters* are the members known while there was a majority of the voters
    before, so a minority cannot grow into a majority by new members (dynamic
    voting; Jajodia and Mutchler, "Dynamic Voting", 1987).  Of equal halves the
    one with the first name counts (dynamic linear voting).  A majority forgets
    lost voters after a while, or many small losses would end all grants; a
    minority keeps them much longer.

    A new member is *pending* until all must have seen it: some may count it
    already and others not know it yet.

    A new instance takes all that it sees at first for voters, until it loses
    one, and may be wrong.  Therefore every member that lacks a majority *vetoes* grants in its
    reports, and a veto outlives its origin.

    :param instance: this instance's name.
    :param settings: how long lost members are remembered.
    """

    def __init__(self, instance: str, settings: LimitSettings) -> None:
        self.instance = instance
        self.settings = settings
        self.alive: frozenset[str] = frozenset()
        self.last_loss_ms = NEVER_MS
        self.told_loss_ms = NEVER_MS
        self._voters: set[str] = set()
        self._pending: dict[str, int] = {}
        self._lost: dict[str, int] = {}
        self._left: dict[str, int] = {}
        self._vetoes: dict[str, int] = {}
        self._listed: frozenset[str] = frozenset()
        self._delisted: set[str] = set()
        self._majority_since_ms = NEVER_MS
        self._started_ms = 0
        self._seen: object = None

    def set_view(self, view: MemberView, now_ms: int) -> frozenset[str]:
        """Follow the view; return the members that are new in it.

        Members that left gracefully have returned their shares and count no
        longer.

        :param view: who is alive.
        :param now_ms: the time.
        """
        if view.alive is self._seen:
            return frozenset()
        is_first = self._seen is None
        had_majority = self.has_majority()
        self._seen = view.alive
        members = {member.instance for member in view.alive}
        # A leaving instance is not in its own view, but it still has a vote.
        alive = frozenset(members | {view.own.instance})
        fresh = alive - self.alive
        for instance in sorted(self.alive - alive):
            gone = self._left if instance in view.leaving else self._lost
            gone[instance] = now_ms
            if gone is self._lost:
                self.last_loss_ms = now_ms
        for instance in alive | view.leaving:
            self._lost.pop(instance, None)
        for instance in fresh:
            self._lift_veto(instance, now_ms)
        self.alive = alive
        if had_majority:
            for instance in view.leaving - {view.own.instance}:
                self._voters.discard(instance)
                self._pending.pop(instance, None)
        if is_first:
            self._started_ms = now_ms
        is_young = now_ms - self._started_ms < self._settle_ms
        if is_young and self._voters <= alive:
            self._voters |= fresh
        self._pending.update((i, now_ms) for i in sorted(fresh - self._voters))
        self._drop_gone()
        return fresh

    def follow_list(self, listed: frozenset[str]) -> list[str]:
        """Follow the platform's list; return the members that are gone for good.

        A member that is not seen any more may be cut off and at work.  One that
        the platform has taken off its list has ended, so nobody has to wait for
        it, and it has no vote.  Without this the last of a group whose others
        crashed would serve nobody for as long as a minority remembers.

        A list that lags may not yet have a new member; therefore only members
        that were on it before count.

        :param listed: the names on the list.
        """
        self._delisted |= self._listed - listed
        self._delisted -= listed
        self._listed = listed
        return self._drop_gone()

    def _drop_gone(self) -> list[str]:
        gone = sorted(self._delisted - self.alive)
        for instance in gone:
            self._voters.discard(instance)
            self._pending.pop(instance, None)
            self._lost.pop(instance, None)
            self._vetoes.pop(instance, None)
        return gone

    @property
    def _settle_ms(self) -> int:
        return SETTLE_DETECTIONS * self.settings.detection_ms

    def take_vetoes(self, sender: str, vetoers: Iterable[str], now_ms: int) -> None:
        """Take in the vetoes of a report.

        Only its origin takes back a veto, or its coming back to life here,
        after which it reports itself.

        :param sender: who reports.
        :param vetoers: members that lack a majority, as the sender knows.
        :param now_ms: the time.
        """
        if sender not in vetoers:
            self._lift_veto(sender, now_ms)
        for origin in vetoers:
            if origin == sender or origin not in self.alive:
                self._vetoes[origin] = now_ms + self.settings.minority_forget_ms

    def take_losses(
        self, lost: Iterable[str], loss_age_ms: int, now_ms: int
    ) -> list[str]:
        """Take in the losses that a report names; return those not known here.

        A new instance has not seen them itself.  Losses longer ago than names
        are reported for may still leave floors.

        :param lost: members that the sender has lost lately.
        :param loss_age_ms: how long ago it lost one, or -1 for never.
        :param now_ms: the time.
        """
        told_ms = now_ms - loss_age_ms
        is_older_than_names = loss_age_ms >= self.settings.unknown_ms
        if is_older_than_names and told_ms > self.last_loss_ms:
            self.last_loss_ms = told_ms
            self.told_loss_ms = told_ms
        fresh = [i for i in lost if i not in self.alive and i not in self._lost]
        for instance in fresh:
            self._lost[instance] = now_ms
        return fresh

    def list_vetoers(self) -> tuple[str, ...]:
        """Return the members that veto grants, with this one if it does."""
        own = () if self.has_majority() else (self.instance,)
        lost = [origin for origin in self._vetoes if origin not in self.alive]
        return (*own, *lost)

    def may_grant(self) -> bool:
        """Return whether there is a majority and no veto."""
        return not self._vetoes and self.has_majority()

    def has_majority(self) -> bool:
        """Return whether most of the voters are alive.

        A pending member counts only if it is lost, so the answer is right for
        those who count it as well as for those who do not know it.
        """
        missing = (self._voters | self._pending.keys()) - self.alive
        present = len(self._voters & self.alive)
        if present == len(missing) > 0:
            return min(self._voters & self.alive) < min(missing)
        return present > len(missing)

    def list_lost(self) -> list[str]:
        """Return the members that were lost and are not forgotten."""
        return list(self._lost)

    def list_lost_since(self, since_ms: int) -> tuple[str, ...]:
        """Return the members that were lost lately.

        :param since_ms: how long ago is too long.
        """
        return tuple(i for i, ms in self._lost.items() if ms >= since_ms)

    def list_left(self, since_ms: int) -> list[str]:
        """Return the members that left gracefully, which still report.

        :param since_ms: how long ago is too long.
        """
        self._left = {i: ms for i, ms in self._left.items() if ms >= since_ms}
        return list(self._left)

    def forget_old(self, now_ms: int) -> None:
        """Forget members that were lost long ago.

        :param now_ms: the time.
        """
        oldest_ms = now_ms - self.settings.minority_forget_ms
        if not self.has_majority():
            self._majority_since_ms = NEVER_MS
            self._drop_before(oldest_ms)
        else:
            if self._majority_since_ms == NEVER_MS:
                self._majority_since_ms = now_ms
            self._admit_settled(now_ms)
            if now_ms - self._majority_since_ms >= self.settings.forget_ms:
                self._drop_before(now_ms - self.settings.forget_ms)
        self._vetoes = {o: ms for o, ms in self._vetoes.items() if ms > now_ms}

    def _admit_settled(self, now_ms: int) -> None:
        """Make voters of those that all others must have seen by now."""
        for instance, since_ms in list(self._pending.items()):
            is_settled = now_ms - since_ms >= self._settle_ms
            if is_settled and instance in self.alive:
                del self._pending[instance]
                self._voters.add(instance)

    def _lift_veto(self, origin: str, now_ms: int) -> None:
        """End a veto when all have had time to see what its origin sees.

        After a cut has healed, its origin may know members that this instance
        does not see yet, and that hold shares.
        """
        if origin in self._vetoes:
            ends_ms = now_ms + self.settings.detection_ms
            self._vetoes[origin] = min(self._vetoes[origin], ends_ms)

    def _drop_before(self, oldest_ms: int) -> None:
        for instance, lost_ms in list(self._lost.items()):
            if lost_ms <= oldest_ms:
                del self._lost[instance]
                self._voters.discard(instance)
                self._pending.pop(instance, None)
