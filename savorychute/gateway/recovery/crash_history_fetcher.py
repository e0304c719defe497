"""Requests the crashes observed by other instances after a start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.recovery.crash_question import CrashQuestion

if TYPE_CHECKING:
    import random

    from savorychute.membership.member_view import MemberView

# The instances asked may themselves have just started, and datagrams may be lost, so
# other instances are asked repeatedly, for longer than many instances take to start.
REQUESTS_PER_ROUND = 3
REQUEST_INTERVAL_MS = 500
REQUEST_PERIOD_MS = 10_000


class CrashHistoryFetcher:
    """Fetches the crashes observed before this run of the instance started.

    Instances report crashes only when they occur.  Without the earlier ones, a request
    that crashes endpoints could crash as many again after this instance has started.

    :param rng: selects the instances to ask.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._end_ms: int | None = None
        self._next_ms = 0

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Return the requests that are due.

        :param view: the known instances.
        :param now_ms: the current time.
        """
        is_over = self._end_ms is not None and now_ms >= self._end_ms
        if is_over or now_ms < self._next_ms:
            return []
        others = [
            member for member in view.alive if member.instance != view.own.instance
        ]
        if not others:
            return []
        if self._end_ms is None:
            self._end_ms = now_ms + REQUEST_PERIOD_MS
        self._next_ms = now_ms + REQUEST_INTERVAL_MS
        asked = self._rng.sample(others, min(REQUESTS_PER_ROUND, len(others)))
        return [
            SendPeer(member.instance, member.host, member.peer_port, CrashQuestion())
            for member in asked
        ]
