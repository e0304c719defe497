"""Tells the other instances which requests crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.recovery.crash_news import CrashNews

if TYPE_CHECKING:
    from savorychute.gateway.recovery.crash_book import CrashBook
    from savorychute.gateway.recovery.crash_sighting import CrashSighting
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# A datagram may be lost; three of them half a second apart reach an instance that
# answers probes before the request can crash a fourth endpoint.
SENDS = 3
REPEAT_MS = 500
SIGHTINGS_PER_MESSAGE = 8
# Of those that an instance is told when it has started.
MESSAGES_PER_ANSWER = 4


class CrashSpread:
    """Sends each fresh sighting to every instance, a few times.

    Crashes are rare, so this costs nothing in an ordinary hour; and the caller may
    send the request again to any instance, so all have to know.

    :param crashes: where sightings come from and go to.
    """

    def __init__(self, crashes: CrashBook) -> None:
        self._crashes = crashes
        self._due: list[tuple[CrashSighting, int]] = []
        self._next_ms = 0

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Return the messages that are due.

        :param view: the instances.
        :param now_ms: the time.
        """
        fresh = self._crashes.take_fresh()
        self._due.extend((sighting, SENDS) for sighting in fresh)
        if not self._due or (now_ms < self._next_ms and not fresh):
            return []
        self._next_ms = now_ms + REPEAT_MS
        batch = self._due[:SIGHTINGS_PER_MESSAGE]
        rest = [(sighting, left - 1) for sighting, left in batch if left > 1]
        self._due = self._due[SIGHTINGS_PER_MESSAGE:] + rest
        news = CrashNews(tuple(sighting for sighting, _ in batch))
        return [
            SendPeer(member.instance, member.host, member.peer_port, news)
            for member in view.alive
            if member.instance != view.own.instance
        ]

    def answer(self, asker: MemberAddress, now_ms: int) -> list[SendPeer]:
        """Return what an instance that has started is told; mostly nothing.

        :param asker: the instance.
        :param now_ms: the time.
        """
        most = SIGHTINGS_PER_MESSAGE * MESSAGES_PER_ANSWER
        known = self._crashes.latest(most, now_ms)
        batches = [
            known[begin : begin + SIGHTINGS_PER_MESSAGE]
            for begin in range(0, len(known), SIGHTINGS_PER_MESSAGE)
        ]
        return [
            SendPeer(asker.instance, asker.host, asker.peer_port, _make_news(batch))
            for batch in batches
        ]


def _make_news(known: list[tuple[CrashSighting, int]]) -> CrashNews:
    sightings = tuple(sighting for sighting, _ in known)
    return CrashNews(sightings, max(age_ms for _, age_ms in known))
