"""Majority of the members, as a condition for grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.limits.settings import LimitSettings
    from savorychute.membership import MemberView

NEVER_MS = -1

#: Number of detection times after which all members must have seen a new one.
SETTLE_DETECTION_PERIODS = 2


class QuorumTracker:
    """Decides whether this side of a possible network partition may grant.

    *Voters* are the members that became known while a majority of the previous voters
    was alive, so that a minority cannot grow into a majority by new members (dynamic
    voting; Jajodia and Mutchler, "Dynamic Voting", 1987).  Of two equal halves, the one
    that contains the first name has the majority (dynamic linear voting).  A majority
    forgets lost voters after a while, because otherwise many small losses would end all
    grants; a minority remembers them much longer.

    A new member is *pending* until all other members must have seen it: before that,
    some may count it while others do not know it yet.

    A new instance counts all members that it sees initially as voters, until it loses
    one, and may be wrong.  Therefore every member that lacks a majority *vetoes* grants
    in its reports, and a veto remains valid after its origin is lost.

    :param instance: this instance's name.
    :param settings: durations for which lost members are remembered.
    """

    def __init__(self, instance: str, settings: LimitSettings) -> None:
        self.instance = instance
        self.settings = settings
        self.alive: frozenset[str] = frozenset()
        self.last_loss_ms = NEVER_MS
        self.reported_loss_ms = NEVER_MS
        self._voters: set[str] = set()
        self._pending: dict[str, int] = {}
        self._lost: dict[str, int] = {}
        self._left: dict[str, int] = {}
        self._vetoes: dict[str, int] = {}
        self._listed: frozenset[str] = frozenset()
        self._delisted: set[str] = set()
        self._majority_since_ms = NEVER_MS
        self._started_ms = 0
        self._seen_alive: object = None

    def set_view(self, view: MemberView, now_ms: int) -> frozenset[str]:
        """Set the current members; return those that are new.

        Members that left gracefully have returned their shares and lose their vote.

        :param view: the current membership view.
        :param now_ms: the current time.
        """
        if view.alive is self._seen_alive:
            return frozenset()
        is_first = self._seen_alive is None
        had_majority = self.has_majority()
        self._seen_alive = view.alive
        members = {member.instance for member in view.alive}
        # A leaving instance is absent from its own view, but still has a vote.
        alive = frozenset(members | {view.own.instance})
        joined = alive - self.alive
        for instance in sorted(self.alive - alive):
            departed = self._left if instance in view.leaving else self._lost
            departed[instance] = now_ms
            if departed is self._lost:
                self.last_loss_ms = now_ms
        for instance in alive | view.leaving:
            self._lost.pop(instance, None)
        for instance in joined:
            self._schedule_veto_end(instance, now_ms)
        self.alive = alive
        if had_majority:
            for instance in view.leaving - {view.own.instance}:
                self._voters.discard(instance)
                self._pending.pop(instance, None)
        if is_first:
            self._started_ms = now_ms
        is_starting = now_ms - self._started_ms < self._settle_ms
        if is_starting and self._voters <= alive:
            self._voters |= joined
        self._pending.update((i, now_ms) for i in sorted(joined - self._voters))
        self._drop_terminated()
        return joined

    def apply_listed(self, listed: frozenset[str]) -> list[str]:
        """Apply the platform's list; return the members that have terminated.

        A member that is no longer seen may be cut off by a network partition and still
        be running.  One that the platform has removed from its list has terminated: it
        has no vote, and no home has to wait for it.  Without this rule, the last instance
        of a group whose others crashed would serve no requests for as long as a
        minority remembers lost members.

        A list that lags may not contain a new member yet; therefore only members that
        were on the list before count as removed.

        :param listed: names on the list.
        """
        self._delisted |= self._listed - listed
        self._delisted -= listed
        self._listed = listed
        return self._drop_terminated()

    def _drop_terminated(self) -> list[str]:
        terminated = sorted(self._delisted - self.alive)
        for instance in terminated:
            self._voters.discard(instance)
            self._pending.pop(instance, None)
            self._lost.pop(instance, None)
            self._vetoes.pop(instance, None)
        return terminated

    @property
    def _settle_ms(self) -> int:
        return SETTLE_DETECTION_PERIODS * self.settings.detection_ms

    def apply_vetoes(self, sender: str, vetoers: Iterable[str], now_ms: int) -> None:
        """Apply the vetoes of a report.

        A veto ends when its origin reports without it, or when its origin is seen alive
        here again; after that it reports by itself.

        :param sender: the reporting instance.
        :param vetoers: members that lack a majority, as far as the sender knows.
        :param now_ms: the current time.
        """
        if sender not in vetoers:
            self._schedule_veto_end(sender, now_ms)
        for origin in vetoers:
            if origin == sender or origin not in self.alive:
                self._vetoes[origin] = now_ms + self.settings.minority_forget_ms

    def apply_losses(
        self, lost: Iterable[str], loss_age_ms: int, now_ms: int
    ) -> list[str]:
        """Apply the losses that a report names; return those unknown here.

        A new instance has not observed these losses itself.  A loss may still have left
        floors in force when it is too old to be reported by name.

        :param lost: members that the sender recently lost.
        :param loss_age_ms: time since its last loss, or -1 for never.
        :param now_ms: the current time.
        """
        loss_ms = now_ms - loss_age_ms
        is_older_than_names = loss_age_ms >= self.settings.unreported_use_ms
        if is_older_than_names and loss_ms > self.last_loss_ms:
            self.last_loss_ms = loss_ms
            self.reported_loss_ms = loss_ms
        unknown = [i for i in lost if i not in self.alive and i not in self._lost]
        for instance in unknown:
            self._lost[instance] = now_ms
        return unknown

    def list_vetoers(self) -> tuple[str, ...]:
        """Return the members that veto grants, including this one if it does."""
        own = () if self.has_majority() else (self.instance,)
        lost = [origin for origin in self._vetoes if origin not in self.alive]
        return (*own, *lost)

    def can_grant(self) -> bool:
        """Return whether there is a majority and no veto."""
        return not self._vetoes and self.has_majority()

    def has_majority(self) -> bool:
        """Return whether most of the voters are alive.

        A pending member counts only if it is lost, so the result is correct both for
        members that count it and for those that do not know it.
        """
        missing = (self._voters | self._pending.keys()) - self.alive
        present = len(self._voters & self.alive)
        if present == len(missing) > 0:
            return min(self._voters & self.alive) < min(missing)
        return present > len(missing)

    def list_lost(self) -> list[str]:
        """Return the lost members that are still remembered."""
        return list(self._lost)

    def list_lost_since(self, since_ms: int) -> tuple[str, ...]:
        """Return the members that were lost since a time.

        :param since_ms: that time.
        """
        return tuple(
            name for name, lost_ms in self._lost.items() if lost_ms >= since_ms
        )

    def list_left(self, since_ms: int) -> list[str]:
        """Return the members that left gracefully and may still report.

        :param since_ms: start of the period; members that left earlier are discarded.
        """
        self._left = {
            name: left_ms for name, left_ms in self._left.items() if left_ms >= since_ms
        }
        return list(self._left)

    def remove_expired(self, now_ms: int) -> None:
        """Discard lost members and vetoes that have expired.

        :param now_ms: the current time.
        """
        oldest_ms = now_ms - self.settings.minority_forget_ms
        if not self.has_majority():
            self._majority_since_ms = NEVER_MS
            self._drop_before(oldest_ms)
        else:
            if self._majority_since_ms == NEVER_MS:
                self._majority_since_ms = now_ms
            self._promote_settled(now_ms)
            if now_ms - self._majority_since_ms >= self.settings.forget_ms:
                self._drop_before(now_ms - self.settings.forget_ms)
        self._vetoes = {
            origin: ends_ms
            for origin, ends_ms in self._vetoes.items()
            if ends_ms > now_ms
        }

    def _promote_settled(self, now_ms: int) -> None:
        """Turn pending members into voters once all others must have seen them."""
        for instance, since_ms in list(self._pending.items()):
            is_settled = now_ms - since_ms >= self._settle_ms
            if is_settled and instance in self.alive:
                del self._pending[instance]
                self._voters.add(instance)

    def _schedule_veto_end(self, origin: str, now_ms: int) -> None:
        """Let a veto end once all members must see what its origin sees.

        After a partition has healed, the origin may know members that this instance
        does not see yet and that hold shares.
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
