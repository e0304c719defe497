"""Reports observed crashes to the other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.recovery.crash_news import CrashNews

if TYPE_CHECKING:
    from savorychute.gateway.recovery.crash_sighting import CrashSighting
    from savorychute.gateway.recovery.crash_table import CrashTable
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# A datagram may be lost; 3 of them sent 500 ms apart reach an instance that responds to
# probes before the request can crash a fourth endpoint.
SENDS_PER_CRASH = 3
RESEND_INTERVAL_MS = 500
CRASHES_PER_MESSAGE = 8
# Limits the response to an instance that has just started.
MESSAGES_PER_RESPONSE = 4


class CrashBroadcaster:
    """Sends each new crash to every instance, several times.

    Crashes are rare, so this costs nothing in normal operation.  All instances have to
    know them, because the caller may resend the request to any of them.

    :param crashes: the observed crashes.
    """

    def __init__(self, crashes: CrashTable) -> None:
        self._crashes = crashes
        self._pending: list[tuple[CrashSighting, int]] = []
        self._next_ms = 0

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Return the messages that are due.

        :param view: the known instances.
        :param now_ms: the current time.
        """
        new = self._crashes.take_unreported()
        self._pending.extend((crash, SENDS_PER_CRASH) for crash in new)
        if not self._pending or (now_ms < self._next_ms and not new):
            return []
        self._next_ms = now_ms + RESEND_INTERVAL_MS
        batch = self._pending[:CRASHES_PER_MESSAGE]
        rest = [(crash, left - 1) for crash, left in batch if left > 1]
        self._pending = self._pending[CRASHES_PER_MESSAGE:] + rest
        message = CrashNews(tuple(crash for crash, _ in batch))
        return [
            SendPeer(member.instance, member.host, member.peer_port, message)
            for member in view.alive
            if member.instance != view.own.instance
        ]

    def respond(self, requester: MemberAddress, now_ms: int) -> list[SendPeer]:
        """Return the response to an instance that has started; usually empty.

        :param requester: the instance.
        :param now_ms: the current time.
        """
        limit = CRASHES_PER_MESSAGE * MESSAGES_PER_RESPONSE
        known = self._crashes.list_recent(limit, now_ms)
        batches = [
            known[start : start + CRASHES_PER_MESSAGE]
            for start in range(0, len(known), CRASHES_PER_MESSAGE)
        ]
        return [
            SendPeer(
                requester.instance,
                requester.host,
                requester.peer_port,
                _make_message(batch),
            )
            for batch in batches
        ]


def _make_message(known: list[tuple[CrashSighting, int]]) -> CrashNews:
    crashes = tuple(crash for crash, _ in known)
    return CrashNews(crashes, max(age_ms for _, age_ms in known))
