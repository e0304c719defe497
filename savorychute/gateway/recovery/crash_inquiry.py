"""Asks the other instances, after a start, which requests crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.recovery.crash_question import CrashQuestion

if TYPE_CHECKING:
    import random

    from savorychute.membership.member_view import MemberView

# Those that are asked may have started just now themselves, and datagrams may be lost; so
# others are asked again and again, for longer than a crowd of instances takes to start.
ASKED_AT_ONCE = 3
ASK_MS = 500
ASKING_MS = 10_000


class CrashInquiry:
    """Learns what was seen before this run began.

    Sightings are told when they are fresh.  An instance that starts later would let a
    request that crashes whatever runs it crash as many endpoints again.

    :param rng: chooses whom to ask.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ends_ms: int | None = None
        self._next_ms = 0

    def tick(self, view: MemberView, now_ms: int) -> list[SendPeer]:
        """Return the questions that are due.

        :param view: the instances.
        :param now_ms: the time.
        """
        is_over = self._ends_ms is not None and now_ms >= self._ends_ms
        if is_over or now_ms < self._next_ms:
            return []
        others = [
            member for member in view.alive if member.instance != view.own.instance
        ]
        if not others:
            return []
        if self._ends_ms is None:
            self._ends_ms = now_ms + ASKING_MS
        self._next_ms = now_ms + ASK_MS
        asked = self._rng.sample(others, min(ASKED_AT_ONCE, len(others)))
        return [
            SendPeer(member.instance, member.host, member.peer_port, CrashQuestion())
            for member in asked
        ]
