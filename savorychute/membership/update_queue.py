"""Queue of updates to be gossiped."""

from __future__ import annotations

from math import ceil, log2
from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.membership.member_update import MemberUpdate
    from savorychute.membership.settings import MembershipSettings


class QueuedUpdate(NamedTuple):
    """A queued update, its time of queueing, and how often it was sent or received."""

    update: MemberUpdate
    since_ms: int
    transmissions: int = 0


class UpdateQueue:
    """The newest update of each member, with its number of transmissions.

    Each update is sent a multiple of the logarithm of the number of members, which
    reaches all members with high probability (Das, Gupta and Motivala, "SWIM",
    2002).  A token bucket limits sending, so that the updates of a restart of all
    instances are spread over time instead of exceeding the budget.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._queued: dict[str, QueuedUpdate] = {}
        self._tokens = float(settings.updates_burst)
        self._refilled_ms: int | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: MemberUpdate, now_ms: int) -> None:
        """Queue an update, replacing an older one of the same member.

        :param update: the update to pass on.
        """
        self._queued[update.address.instance] = QueuedUpdate(update, now_ms)

    def record_duplicate(self, update: MemberUpdate) -> None:
        """Count a copy received from another member as a transmission.

        An update that arrives repeatedly is already known to the others (Demers et
        al., "Epidemic Algorithms for Replicated Database Maintenance", 1987: rumours
        with feedback).  Without this, after a start of all instances the members
        would keep sending each other updates that all of them have.

        :param update: an update that contained nothing new.
        """
        queued = self._queued.get(update.address.instance)
        if queued is not None and queued.update == update:
            counted = queued._replace(transmissions=queued.transmissions + 1)
            self._queued[update.address.instance] = counted

    def next_batch(self, members: int, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Return the updates of the next message, the least often sent first.

        :param members: the number of members to reach.
        """
        if not self._queued:
            return ()
        self._refill(now_ms)
        count = min(self._settings.updates_per_message, int(self._tokens))
        max_transmissions = ceil(self._settings.spread_factor * log2(members + 2))
        self._drop_finished(max_transmissions, now_ms)
        sorted_updates = sorted(
            self._queued.items(), key=lambda item: item[1].transmissions
        )
        batch = sorted_updates[:count]
        for instance, queued in batch:
            self._queued[instance] = queued._replace(
                transmissions=queued.transmissions + 1
            )
        self._tokens -= len(batch)
        return tuple(queued.update for _, queued in batch)

    def _drop_finished(self, max_transmissions: int, now_ms: int) -> None:
        """Drop updates that were sent often enough or are covered by digests."""
        oldest_ms = now_ms - self._settings.max_update_age_ms
        finished = [
            instance
            for instance, queued in self._queued.items()
            if queued.transmissions >= max_transmissions or queued.since_ms < oldest_ms
        ]
        for instance in finished:
            del self._queued[instance]

    def _refill(self, now_ms: int) -> None:
        if self._refilled_ms is not None:
            gained = (now_ms - self._refilled_ms) * self._settings.updates_per_s
            self._tokens = min(
                float(self._settings.updates_burst), self._tokens + gained / MS_PER_S
            )
        self._refilled_ms = now_ms
