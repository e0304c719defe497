"""The broadcast of suspected requests to other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.send_peer import SendPeer
from savorychute.recovery.poison_digest import PoisonDigest
from savorychute.recovery.poison_news import PoisonNews

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress
    from savorychute.membership import MemberView
    from savorychute.recovery.poison_record import PoisonRecord
    from savorychute.recovery.quarantine_settings import QuarantineSettings

SAMPLED_ENTRIES = 8


class PoisonBroadcaster:
    """Pushes updates to a few peers at once and repairs losses by digests.

    Each instance forwards an update once, to ``gossip_fanout`` peers chosen at
    random.  With six, a share of about exp(-6) of the instances is missed
    (Demers et al., Epidemic algorithms for replicated database maintenance,
    1987); these receive the update after a comparison of digests.

    :param settings: the number of peers, the interval and the message size.
    :param instance: the name of this instance.
    :param rng: chooses the peers.
    """

    def __init__(
        self, settings: QuarantineSettings, instance: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._rng = rng
        self._peers: list[MemberAddress] = []
        self._pending_records: dict[str, PoisonRecord] = {}
        self._digest_sent_ms = 0

    def set_view(self, view: MemberView) -> None:
        """Set the current members."""
        self._peers = [peer for peer in view.alive if peer.instance != self._instance]

    def add(self, record: PoisonRecord) -> None:
        """Include *record* in the next broadcast."""
        self._pending_records[record.fingerprint] = record

    def broadcast(self, now_ms: int, excluded: str = '') -> list[Action]:
        """Return the messages with the updates collected since the last call.

        :param excluded: an instance that has the updates already.
        """
        if not self._pending_records or not self._peers:
            return []
        messages = self._make_messages(self._pending_records.values(), now_ms)
        self._pending_records = {}
        peers = [peer for peer in self._peers if peer.instance != excluded]
        count = min(len(peers), self._settings.gossip_fanout)
        chosen = self._rng.sample(peers, count)
        return [
            make_send_action(peer, message) for peer in chosen for message in messages
        ]

    def _make_messages(
        self, records: Iterable[PoisonRecord], now_ms: int
    ) -> list[PoisonNews]:
        entries = [record.make_entry(now_ms) for record in records]
        size = self._settings.gossip_entries
        return [
            PoisonNews(tuple(entries[start : start + size]))
            for start in range(0, len(entries), size)
        ]

    def send_digest(
        self, records: Mapping[str, PoisonRecord], now_ms: int
    ) -> list[Action]:
        """Return a digest for one peer, if one is due.

        :param records: all records of this instance.
        """
        if now_ms - self._digest_sent_ms < self._settings.gossip_interval_ms:
            return []
        if not self._peers:
            return []
        self._digest_sent_ms = now_ms
        peer = self._rng.choice(self._peers)
        return [make_send_action(peer, make_digest(records))]

    def respond_to_digest(
        self,
        sender: str,
        message: PoisonDigest,
        records: Mapping[str, PoisonRecord],
        now_ms: int,
    ) -> list[Action]:
        """Return entries for a peer whose digest differs.

        A peer with far fewer entries, such as a new one, gets a full message;
        the others get a few entries chosen at random, because the difference
        may be only an entry that expired a moment earlier there.

        :param records: all records of this instance.
        """
        if not records or message == make_digest(records):
            return []
        addresses = [peer for peer in self._peers if peer.instance == sender]
        if not addresses:
            return []
        count = SAMPLED_ENTRIES
        if message.entries < len(records) / 2:
            count = self._settings.gossip_entries
        chosen = list(records.values())
        if len(chosen) > count:
            chosen = self._rng.sample(chosen, count)
        messages = self._make_messages(chosen, now_ms)
        return [make_send_action(addresses[0], reply) for reply in messages]


def make_digest(records: Mapping[str, PoisonRecord]) -> PoisonDigest:
    """Return the digest over *records*, independent of their order."""
    digest = 0
    for record in records.values():
        digest ^= record.digest()
    return PoisonDigest(digest, len(records))


def make_send_action(
    peer: MemberAddress, message: PoisonNews | PoisonDigest
) -> SendPeer:
    """Return the action that sends *message* to *peer*."""
    return SendPeer(peer.instance, peer.host, peer.peer_port, message)
