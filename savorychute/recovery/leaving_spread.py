"""Tells other instances of endpoints that leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import SendPeer
from savorychute.recovery.leaving_news import LeavingNews

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.membership import MemberView

#: A piece of news is passed on once, and again after this long: an endpoint
#: may return and leave anew.
MEMORY_MS = 30_000
MAX_REMEMBERED = 4_096
FANOUT = 4


class LeavingSpread:
    """Passes a refusal that one instance got on to all others.

    Without it every instance has to be refused once itself, and an endpoint
    that leaves by its own decision would be offered work for as long as the
    platform's list lags.  Each instance passes news on once, to ``FANOUT``
    peers chosen at random (Demers et al., Epidemic algorithms for replicated
    database maintenance, 1987); those missed are refused themselves.

    :param instance: this instance.
    :param rng: chooses the peers.
    """

    def __init__(self, instance: str, rng: random.Random) -> None:
        self._instance = instance
        self._rng = rng
        self._known_until_ms: dict[str, int] = {}
        self._news: list[str] = []

    def note(self, endpoint: str, now_ms: int) -> bool:
        """Take in that an endpoint leaves.

        :returns: whether that is news.
        """
        if self._known_until_ms.get(endpoint, 0) > now_ms:
            return False
        self._forget(now_ms)
        self._known_until_ms[endpoint] = now_ms + MEMORY_MS
        self._news.append(endpoint)
        return True

    def send(self, view: MemberView) -> list[Action]:
        """Return the messages that tell the news collected.

        :param view: who is alive.
        """
        if not self._news:
            return []
        message = LeavingNews(tuple(self._news))
        self._news = []
        peers = [peer for peer in view.alive if peer.instance != self._instance]
        chosen = self._rng.sample(peers, min(FANOUT, len(peers)))
        return [
            SendPeer(peer.instance, peer.host, peer.peer_port, message)
            for peer in chosen
        ]

    def _forget(self, now_ms: int) -> None:
        if len(self._known_until_ms) < MAX_REMEMBERED:
            return
        self._known_until_ms = {
            endpoint: until_ms
            for endpoint, until_ms in self._known_until_ms.items()
            if until_ms > now_ms
        }
