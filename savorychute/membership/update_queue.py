"""Updates waiting to be passed on."""

from __future__ import annotations

from math import ceil, log2
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from savorychute.membership.member_update import MemberUpdate
    from savorychute.membership.settings import MembershipSettings


class UpdateQueue:
    """The newest update of each member, with how often it was sent.

    Each is sent a multiple of the logarithm of the number of members, which
    reaches everybody with high probability (Das, Gupta and Motivala, "SWIM",
    2002).  Sending is bounded by a token bucket, so that a restart of all
    instances is spread over time instead of exceeding the budget.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._waiting: dict[str, tuple[MemberUpdate, int]] = {}
        self._tokens = float(settings.updates_burst)
        self._refilled_ms: int | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update in place of an older one of the same member.

        :param update: the update to pass on.
        """
        self._waiting[update.address.instance] = (update, 0)

    def take(self, members: int, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Return the updates of the next message, the least sent first.

        :param members: how many members there are to reach.
        """
        if not self._waiting:
            return ()
        self._refill(now_ms)
        count = min(self._settings.updates_per_message, int(self._tokens))
        order = sorted(self._waiting.items(), key=lambda item: item[1][1])
        limit = ceil(self._settings.spread_factor * log2(members + 2))
        taken = order[:count]
        for instance, (update, sent) in taken:
            if sent + 1 >= limit:
                del self._waiting[instance]
            else:
                self._waiting[instance] = (update, sent + 1)
        self._tokens -= len(taken)
        return tuple(update for _, (update, _) in taken)

    def _refill(self, now_ms: int) -> None:
        if self._refilled_ms is not None:
            gained = (now_ms - self._refilled_ms) * self._settings.updates_per_s
            self._tokens = min(
                float(self._settings.updates_burst), self._tokens + gained / MS_PER_S
            )
        self._refilled_ms = now_ms
