"""Updates waiting to be passed on."""

from __future__ import annotations

from math import ceil, log2
from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.membership.member_update import MemberUpdate
    from savorychute.membership.settings import MembershipSettings


class WaitingUpdate(NamedTuple):
    """An update, since when it waits, and how often it was sent or heard."""

    update: MemberUpdate
    since_ms: int
    sent: int = 0


class UpdateQueue:
    """The newest update of each member, with how often it was sent.

    Each is sent a multiple of the logarithm of the number of members, which
    reaches everybody with high probability (Das, Gupta and Motivala, "SWIM",
    2002).  Sending is bounded by a token bucket, so that a restart of all
    instances is spread over time instead of exceeding the budget.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._waiting: dict[str, WaitingUpdate] = {}
        self._tokens = float(settings.updates_burst)
        self._refilled_ms: int | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, update: MemberUpdate, now_ms: int) -> None:
        """Queue an update in place of an older one of the same member.

        :param update: the update to pass on.
        """
        self._waiting[update.address.instance] = WaitingUpdate(update, now_ms)

    def hear(self, update: MemberUpdate) -> None:
        """Count a copy that came from another member as if it were sent.

        What arrives again and again is known already (Demers et al., "Epidemic
        Algorithms for Replicated Database Maintenance", 1987: rumours with
        feedback).  Without this a start of all instances keeps everybody busy
        repeating to each other what all know.

        :param update: an update that told nothing new.
        """
        waiting = self._waiting.get(update.address.instance)
        if waiting is not None and waiting.update == update:
            heard = waiting._replace(sent=waiting.sent + 1)
            self._waiting[update.address.instance] = heard

    def take(self, members: int, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Return the updates of the next message, the least sent first.

        :param members: how many members there are to reach.
        """
        if not self._waiting:
            return ()
        self._refill(now_ms)
        count = min(self._settings.updates_per_message, int(self._tokens))
        limit = ceil(self._settings.spread_factor * log2(members + 2))
        self._drop_known(limit, now_ms)
        order = sorted(self._waiting.items(), key=lambda item: item[1].sent)
        taken = order[:count]
        for instance, waiting in taken:
            self._waiting[instance] = waiting._replace(sent=waiting.sent + 1)
        self._tokens -= len(taken)
        return tuple(waiting.update for _, waiting in taken)

    def _drop_known(self, limit: int, now_ms: int) -> None:
        """Drop what was sent often enough, or so old that digests carry it."""
        oldest_ms = now_ms - self._settings.max_update_age_ms
        known = [
            instance
            for instance, waiting in self._waiting.items()
            if waiting.sent >= limit or waiting.since_ms < oldest_ms
        ]
        for instance in known:
            del self._waiting[instance]

    def _refill(self, now_ms: int) -> None:
        if self._refilled_ms is not None:
            gained = (now_ms - self._refilled_ms) * self._settings.updates_per_s
            self._tokens = min(
                float(self._settings.updates_burst), self._tokens + gained / MS_PER_S
            )
        self._refilled_ms = now_ms
