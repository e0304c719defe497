"""Sends the usage counts of this instance to the candidates for the duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer

if TYPE_CHECKING:
    from savorychute.gateway.duties.duty_candidates import DutyCandidates
    from savorychute.gateway.duties.usage_aggregator import UsageAggregator
    from savorychute.gateway.duties.usage_counter import UsageCounter
    from savorychute.gateway.duties.usage_told import UsageTold
    from savorychute.member_address import MemberAddress

# An instance that is killed loses the counts since its last broadcast.
BROADCAST_INTERVAL_MS = 1_000
# A new candidate gets all windows this many times, since a datagram may be lost.
FULL_SEND_COUNT = 3


class UsageBroadcaster:
    """Sends the counts of this instance, and receives those of others.

    :param candidates: the receivers.
    :param counter: the counts of this instance.
    :param aggregator: the counts of all instances, as received here.
    """

    def __init__(
        self,
        candidates: DutyCandidates,
        counter: UsageCounter,
        aggregator: UsageAggregator,
    ) -> None:
        self._candidates = candidates
        self._counter = counter
        self._aggregator = aggregator
        self._next_ms = 0
        # How many messages each candidate was sent.
        self._send_counts: dict[MemberAddress, int] = {}

    def tick(self, now_ms: int) -> list[SendPeer]:
        """Return the messages that are due.

        :param now_ms: the current time.
        """
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + BROADCAST_INTERVAL_MS
        return self.broadcast()

    def broadcast(self) -> list[SendPeer]:
        """Return messages with the current counts."""
        own = self._candidates.own_address
        if own is None or not self._counter.is_enabled:
            return []
        recent = self._counter.make_message(own.incarnation, all_windows=False)
        complete = self._counter.make_message(own.incarnation, all_windows=True)
        self.handle(own.instance, complete)
        others = self._candidates.other_candidates
        actions = []
        for candidate in others:
            send_count = self._send_counts.get(candidate, 0)
            message = complete if send_count < FULL_SEND_COUNT else recent
            actions.append(
                SendPeer(
                    candidate.instance, candidate.host, candidate.peer_port, message
                )
            )
        self._send_counts = {
            each: self._send_counts.get(each, 0) + 1 for each in others
        }
        return actions

    def handle(self, instance: str, message: UsageTold) -> None:
        """Handle the counts of an instance.

        :param instance: the name of the sender.
        :param message: its counts.
        """
        self._aggregator.apply(instance, message)
