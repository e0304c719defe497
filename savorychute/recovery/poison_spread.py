"""Tells other instances of suspected requests."""

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

FEW_ENTRIES = 8


class PoisonSpread:
    """Pushes news to a few peers at once and repairs losses by digests.

    Each instance passes a piece of news on once, to ``gossip_fanout`` peers
    chosen at random; with six, a part of about exp(-6) of the instances is
    missed (Demers et al., Epidemic algorithms for replicated database
    maintenance, 1987), and learns by comparing digests.

    :param settings: how many peers, how often, and how much at a time.
    :param instance: this instance.
    :param rng: chooses the peers.
    """

    def __init__(
        self, settings: QuarantineSettings, instance: str, rng: random.Random
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._rng = rng
        self._peers: list[MemberAddress] = []
        self._news: dict[str, PoisonRecord] = {}
        self._compared_ms = 0

    def set_view(self, view: MemberView) -> None:
        """Take over who is alive."""
        self._peers = [peer for peer in view.alive if peer.instance != self._instance]

    def add(self, record: PoisonRecord) -> None:
        """Tell of *record* at the next sending."""
        self._news[record.fingerprint] = record

    def send(self, now_ms: int, besides: str = '') -> list[Action]:
        """Return the messages that tell the news collected.

        :param besides: an instance that knows them already.
        """
        if not self._news or not self._peers:
            return []
        messages = self._make_news(self._news.values(), now_ms)
        self._news = {}
        peers = [peer for peer in self._peers if peer.instance != besides]
        count = min(len(peers), self._settings.gossip_fanout)
        chosen = self._rng.sample(peers, count)
        return [make_send(peer, message) for peer in chosen for message in messages]

    def _make_news(
        self, records: Iterable[PoisonRecord], now_ms: int
    ) -> list[PoisonNews]:
        entries = [record.entry(now_ms) for record in records]
        size = self._settings.gossip_entries
        return [
            PoisonNews(tuple(entries[start : start + size]))
            for start in range(0, len(entries), size)
        ]

    def compare(self, records: Mapping[str, PoisonRecord], now_ms: int) -> list[Action]:
        """Return a digest for one peer, if it is time.

        :param records: all that this instance knows.
        """
        if now_ms - self._compared_ms < self._settings.gossip_interval_ms:
            return []
        if not self._peers:
            return []
        self._compared_ms = now_ms
        peer = self._rng.choice(self._peers)
        return [make_send(peer, make_digest(records))]

    def answer(
        self,
        sender: str,
        message: PoisonDigest,
        records: Mapping[str, PoisonRecord],
        now_ms: int,
    ) -> list[Action]:
        """Return news for a peer that knows something else.

        A peer that knows much less, being new, gets a full message; the others
        a few entries, chosen at random, because the difference may be no more
        than an entry that expired a moment earlier there.

        :param records: all that this instance knows.
        """
        if not records or message == make_digest(records):
            return []
        addresses = [peer for peer in self._peers if peer.instance == sender]
        if not addresses:
            return []
        count = FEW_ENTRIES
        if message.entries < len(records) / 2:
            count = self._settings.gossip_entries
        chosen = list(records.values())
        if len(chosen) > count:
            chosen = self._rng.sample(chosen, count)
        messages = self._make_news(chosen, now_ms)
        return [make_send(addresses[0], news) for news in messages]


def make_digest(records: Mapping[str, PoisonRecord]) -> PoisonDigest:
    """Return the digest over *records*, independent of their order."""
    digest = 0
    for record in records.values():
        digest ^= record.digest()
    return PoisonDigest(digest, len(records))


def make_send(peer: MemberAddress, message: PoisonNews | PoisonDigest) -> SendPeer:
    """Return the action that sends *message* to *peer*."""
    return SendPeer(peer.instance, peer.host, peer.peer_port, message)
