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

# A datagram may be lost; 3 of them sent 500 ms apart reach any instance that responds to
# probes, and do so before the request can crash a fourth endpoint.
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
        # The crashes to send, and how often each is still to be sent.
        self._pending: list[tuple[CrashSighting, int]] = []
        self._next_ms = 0

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Return the messages that are due.

        :param view: the known instances.
        :param now_ms: the current time.
        """
        new_crashes = self._crashes.take_unreported()
        self._pending.extend((crash, SENDS_PER_CRASH) for crash in new_crashes)
        if not self._pending or (now_ms < self._next_ms and not new_crashes):
            return []
        self._next_ms = now_ms + RESEND_INTERVAL_MS
        batch = self._pending[:CRASHES_PER_MESSAGE]
        to_resend = [(crash, sends - 1) for crash, sends in batch if sends > 1]
        self._pending = self._pending[CRASHES_PER_MESSAGE:] + to_resend
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
        recent = self._crashes.list_recent(limit, now_ms)
        batches = [
            recent[start : start + CRASHES_PER_MESSAGE]
            for start in range(0, len(recent), CRASHES_PER_MESSAGE)
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


def _make_message(recent: list[tuple[CrashSighting, int]]) -> CrashNews:
    """Return the message that reports some crashes, given with their ages in ms."""
    crashes = tuple(crash for crash, _ in recent)
    return CrashNews(crashes, max(age_ms for _, age_ms in recent))
