"""The broadcast of leaving endpoints to other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import SendPeer
from savorychute.recovery.leaving_news import LeavingNews

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.membership import MemberView

#: An endpoint is broadcast only once within this time; later it may have
#: returned and be leaving again.
SUPPRESSION_MS = 30_000
MAX_ENDPOINTS = 4_096
FANOUT = 4


class LeavingBroadcaster:
    """Broadcasts a refusal that one instance received to all others.

    Otherwise every instance would have to be refused once itself, and an
    endpoint that leaves by its own decision would be offered requests until the
    list of the platform is updated.  Each instance forwards an update once, to
    ``FANOUT`` peers chosen at random (Demers et al., Epidemic algorithms for
    replicated database maintenance, 1987).  Instances that are missed get a
    refusal of their own.

    :param instance: the name of this instance.
    :param rng: chooses the peers.
    """

    def __init__(self, instance: str, rng: random.Random) -> None:
        self._instance = instance
        self._rng = rng
        self._suppressed_until_ms: dict[str, int] = {}
        self._pending_endpoints: list[str] = []

    def record(self, endpoint: str, now_ms: int) -> bool:
        """Record that an endpoint is leaving.

        :returns: whether that was not known yet.
        """
        if self._suppressed_until_ms.get(endpoint, 0) > now_ms:
            return False
        self._remove_expired(now_ms)
        self._suppressed_until_ms[endpoint] = now_ms + SUPPRESSION_MS
        self._pending_endpoints.append(endpoint)
        return True

    def broadcast(self, view: MemberView) -> list[Action]:
        """Return the messages with the updates collected since the last call.

        :param view: the current members.
        """
        if not self._pending_endpoints:
            return []
        message = LeavingNews(tuple(self._pending_endpoints))
        self._pending_endpoints = []
        peers = [peer for peer in view.alive if peer.instance != self._instance]
        chosen = self._rng.sample(peers, min(FANOUT, len(peers)))
        return [
            SendPeer(peer.instance, peer.host, peer.peer_port, message)
            for peer in chosen
        ]

    def _remove_expired(self, now_ms: int) -> None:
        if len(self._suppressed_until_ms) < MAX_ENDPOINTS:
            return
        self._suppressed_until_ms = {
            endpoint: until_ms
            for endpoint, until_ms in self._suppressed_until_ms.items()
            if until_ms > now_ms
        }
