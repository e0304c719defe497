"""The member table of one instance, kept by probes and gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.fetch_listing import FetchListing
from savorychute.actions.send_peer import SendPeer
from savorychute.membership.ack import Ack
from savorychute.membership.digest import Digest
from savorychute.membership.gossip import Gossip
from savorychute.membership.member_news import MemberNews
from savorychute.membership.member_state import MemberState
from savorychute.membership.member_table import MemberTable
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.peer_news import PeerNews
from savorychute.membership.ping import Ping
from savorychute.membership.ping_request import PingRequest
from savorychute.membership.prober import Prober
from savorychute.membership.region_map import RegionMap
from savorychute.membership.region_summary import RegionSummary
from savorychute.membership.region_sync import RegionSync
from savorychute.membership.relayed_ack import RelayedAck
from savorychute.membership.update_queue import UpdateQueue
from savorychute.membership.update_request import UpdateRequest
from savorychute.membership.view_builder import build_view

if TYPE_CHECKING:
    from random import Random

    from savorychute.actions import Action
    from savorychute.inputs.listing_fetched import ListingFetched
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_change import MemberChange
    from savorychute.membership.member_view import MemberView
    from savorychute.membership.settings import MembershipSettings

NO_NEWS = MemberNews()


class Membership:
    """Who is alive, leaving, suspected or dead.

    Inside a region members probe each other as in SWIM (Das, Gupta and
    Motivala, 2002): directly, then through others, then by suspicion that the
    suspect can refute.  Regions exchange digests through representatives.

    :param settings: periods and bounds.
    :param address: this instance.
    :param rng: a seeded source of random numbers.
    """

    def __init__(
        self, settings: MembershipSettings, address: MemberAddress, rng: Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._own = MemberUpdate(address)
        self._configuration_offset = -1
        self._told = NO_NEWS
        self._news = PeerNews()
        self._table = MemberTable(settings)
        self._queue = UpdateQueue(settings)
        self._prober = Prober(settings, self._table, rng)
        self._regions = RegionMap(settings, self._table, address, rng)
        self._sync = RegionSync(settings, self._table, self._regions, address, rng)
        self._listed: dict[str, MemberAddress] = {}
        self._listed_leaving = False
        self._next_listing_ms: int | None = None
        self._next_gossip_ms = 0
        self._next_dead_retry_ms = 0
        self._last_tick_ms: int | None = None
        self._view: MemberView | None = None
        self._view_key: tuple[object, ...] = ()

    def view(self) -> MemberView:
        """Return the members now; the same object until something changes."""
        silent = self._sync.silent_regions()
        key = (self._table.version, self._own, self._listed_leaving, silent)
        if self._view is None or key != self._view_key:
            self._view = build_view(
                self._table, self._own.address, self._is_leaving(), silent
            )
            self._view_key = key
        return self._view

    def advertise(self, configuration_offset: int, news: MemberNews = NO_NEWS) -> None:
        """Tell the others, on each probe, how far this instance is and what it knows.

        :param configuration_offset: the log offset that was read last.
        :param news: what else is told.
        """
        self._configuration_offset = configuration_offset
        self._told = news

    def peer_offsets(self) -> dict[str, int]:
        """Return the offsets that members advertised last."""
        return self._news.offsets

    def peer_loads(self) -> dict[str, int]:
        """Return the loads that members of the region advertised, and the own.

        They are as old as the last probe between the two: in the mean half as
        many seconds as the region has members.
        """
        return {**self._news.loads, self._own.address.instance: self._told.load}

    def take_changes(self) -> list[MemberChange]:
        """Return the changes since the last call, for the audit trail."""
        changes = list(self._table.changes)
        self._table.changes.clear()
        return changes

    def apply_listing(self, listing: ListingFetched, now_ms: int) -> list[Action]:
        """Take in the platform's list; it is a hint, probes decide.

        :param listing: the list, true some time ago.
        """
        if not listing.ok:
            return []
        first = not self._listed
        self._listed = {
            address.instance: address
            for address in listing.live
            if address.instance != self._own.address.instance
        }
        for address in self._listed.values():
            self._table.apply(MemberUpdate(address), 'listed', now_ms)
        self._table.set_listed_leaving(listing.leaving, now_ms)
        if self._next_listing_ms is None:
            # What was read before the first tick need not be read again at once.
            self._next_listing_ms = now_ms + self._draw_listing_ms()
        own = self._own.address
        self._listed_leaving = own in listing.live and (own.instance in listing.leaving)
        self._sync.meet_regions(now_ms)
        return self._announce(now_ms) if first and self._listed else []

    def leave(self, now_ms: int) -> list[Action]:
        """Say goodbye: get no new work, keep answering probes.

        :param now_ms: the time.
        """
        if self._own.state == MemberState.LEAVING:
            return []
        self._own = MemberUpdate(
            self._own.address, self._own.counter + 1, int(MemberState.LEAVING)
        )
        self._queue.add(self._own, now_ms)
        return self._announce(now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> list[Action]:
        """Take in a peer message of this package; others are ignored.

        :param sender: the name of the instance that signed the message.
        :param message: the decoded message.
        """
        origin = getattr(message, 'origin', None)
        if origin is not None:
            if origin.address.instance != sender:
                return []
            self._apply((origin,), 'heard from it', now_ms)
            self._sync.heard_from(origin.address.region, now_ms)
        if isinstance(message, Ping):
            return self._answer_ping(message, now_ms)
        if isinstance(message, Ack):
            return self._take_ack(message, now_ms)
        if isinstance(message, PingRequest):
            return self._prober.relay(message, self._ping_of, now_ms)
        if isinstance(message, RelayedAck):
            self._apply((message.target,), 'answered another member', now_ms)
            self._prober.acknowledged(message.target.address.instance, message.sequence)
            return []
        if isinstance(message, Gossip):
            self._apply(message.updates, 'gossip', now_ms, message.bulk)
            return []
        if isinstance(message, Digest):
            self._news.offsets[sender] = message.configuration_offset
            return self._sync.compare(message, self._own, now_ms)
        if isinstance(message, RegionSummary):
            return self._sync.reconcile(message, self._own)
        if isinstance(message, UpdateRequest):
            return self._sync.supply(message, self._own)
        return []

    def tick(self, now_ms: int) -> list[Action]:
        """Do what is due.

        :param now_ms: the time; to be called several times a second.
        """
        self._excuse_pause(now_ms)
        actions: list[Action] = []
        actions.extend(self._fetch_listing(now_ms))
        actions.extend(self._prober.tick(self._own.address, self._ping_of, now_ms))
        for update in self._prober.take_verdicts(now_ms):
            self._apply((update,), 'no answer', now_ms)
        actions.extend(self._send_gossip(now_ms))
        actions.extend(self._retry_dead(now_ms))
        actions.extend(self._sync.tick(self._own, self._configuration_offset, now_ms))
        return actions

    def _is_leaving(self) -> bool:
        return self._listed_leaving or self._own.state == MemberState.LEAVING

    def _excuse_pause(self, now_ms: int) -> None:
        """Accuse nobody after a pause of this instance.

        The failure: this process stands still for seconds, wakes, and finds
        every answer late.  It would declare healthy members dead.  All waits
        are prolonged by the gap, so answers that lie unread are read first.
        """
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is None:
            self._queue.add(self._own, now_ms)
            return
        if now_ms - last_ms < self._settings.pause_ms:
            return
        self._prober.postpone(now_ms - last_ms)
        self._table.postpone(now_ms - last_ms)
        self._sync.postpone(now_ms - last_ms)

    def _apply(
        self,
        updates: tuple[MemberUpdate, ...],
        why: str,
        now_ms: int,
        bulk: bool = False,
    ) -> None:
        for update in updates:
            instance = update.address.instance
            if instance == self._own.address.instance:
                self._refute(update, now_ms)
                continue
            known = self._table.get(instance)
            if not self._table.apply(update, why, now_ms):
                self._queue.hear(update)
                continue
            if known is not None or not bulk:
                self._queue.add(update, now_ms)
            if update.state == MemberState.DEAD:
                self._news.forget(instance)

    def _refute(self, update: MemberUpdate, now_ms: int) -> None:
        """Contradict a suspicion or a death of this incarnation."""
        own = self._own
        if update.address.incarnation != own.address.incarnation:
            return
        if update.rank <= own.rank:
            return
        self._own = own._replace(counter=update.counter + 1)
        self._queue.add(self._own, now_ms)

    def _answer_ping(self, ping: Ping, now_ms: int) -> list[Action]:
        self._news.note(ping)
        self._apply(ping.updates, 'gossip', now_ms)
        updates = self._updates_for(ping.origin, now_ms)
        ack = Ack(
            ping.sequence,
            self._own,
            self._configuration_offset,
            updates,
            self._told.load,
            self._told.shortages,
            self._wall_ms(now_ms),
            self._told.limits,
            self._told.leaving,
        )
        return [send_to(ping.origin.address, ack)]

    def _take_ack(self, ack: Ack, now_ms: int) -> list[Action]:
        self._news.note(ack)
        self._apply(ack.updates, 'gossip', now_ms)
        return self._prober.take_ack(ack)

    def _updates_for(self, peer: MemberUpdate, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Return updates to piggyback, with what the peer must refute first."""
        updates = self._queue.take(len(self._table), now_ms)
        record = self._table.get(peer.address.instance)
        if record is None or record.update.state < MemberState.SUSPECT:
            return updates
        if record.update in updates:
            return updates
        return (record.update, *updates)

    def _ping_of(self, sequence: int, target: MemberAddress, now_ms: int) -> Ping:
        updates = self._updates_for(MemberUpdate(target), now_ms)
        return Ping(
            sequence,
            self._own,
            self._configuration_offset,
            updates,
            self._told.load,
            self._told.shortages,
            self._wall_ms(now_ms),
            self._told.limits,
            self._told.leaving,
        )

    def _wall_ms(self, now_ms: int) -> int:
        offset_ms = self._told.wall_offset_ms
        return now_ms + offset_ms if offset_ms is not None else 0

    def _announce(self, now_ms: int) -> list[Action]:
        """Tell some members of the own region and all other regions at once."""
        targets = self._regions.announcement_targets()
        updates = (self._own,)
        actions: list[Action] = [send_to(t, Gossip(updates)) for t in targets]
        actions.extend(
            self._sync.send_digests(self._own, self._configuration_offset, now_ms)
        )
        return actions

    def _send_gossip(self, now_ms: int) -> list[Action]:
        if now_ms < self._next_gossip_ms:
            return []
        self._next_gossip_ms = now_ms + self._settings.gossip_period_ms
        actions: list[Action] = []
        if not len(self._queue):
            return actions
        for target in self._regions.gossip_targets():
            updates = self._queue.take(len(self._table), now_ms)
            if updates:
                actions.append(send_to(target, Gossip(updates)))
        return actions

    def _retry_dead(self, now_ms: int) -> list[Action]:
        """Probe one member that is taken for dead, the listed ones first.

        Two sides of a cut declare each other dead.  Only this finds the other
        side again when the cut has healed.
        """
        if now_ms < self._next_dead_retry_ms:
            return []
        period_ms = self._settings.dead_retry_period_ms
        self._next_dead_retry_ms = now_ms + self._rng.randint(1, 2 * period_ms)
        self._table.forget_dead(now_ms)
        dead = [r.update.address for r in self._table.in_state(MemberState.DEAD)]
        if not dead:
            return []
        listed = [address for address in dead if address.instance in self._listed]
        target = self._rng.choice(listed or dead)
        return [send_to(target, self._ping_of(0, target, now_ms))]

    def _fetch_listing(self, now_ms: int) -> list[Action]:
        if self._next_listing_ms is not None and now_ms < self._next_listing_ms:
            return []
        self._next_listing_ms = now_ms + self._draw_listing_ms()
        return [FetchListing()]

    def _draw_listing_ms(self) -> int:
        """Return when to list next, spread so that members do not list together."""
        settings = self._settings
        spaced_ms = settings.listing_spacing_ms * len(self._table)
        period_ms = max(settings.listing_period_ms, spaced_ms)
        if not self._listed:
            period_ms = settings.first_listing_period_ms
        return self._rng.randint(period_ms // 2, period_ms * 3 // 2)


def send_to(address: MemberAddress, message: tuple[object, ...]) -> SendPeer:
    """Return the action that sends a message to a member.

    :param address: where to.
    :param message: a registered peer message.
    """
    return SendPeer(address.instance, address.host, address.peer_port, message)
