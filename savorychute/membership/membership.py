"""The member table of one instance, maintained by probes and gossip."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.fetch_listing import FetchListing
from savorychute.actions.send_peer import SendPeer
from savorychute.membership.ack import Ack
from savorychute.membership.digest import Digest
from savorychute.membership.gossip import Gossip
from savorychute.membership.member_state import MemberState
from savorychute.membership.member_status import MemberStatus
from savorychute.membership.member_table import MemberTable
from savorychute.membership.member_update import MemberUpdate
from savorychute.membership.peer_status_table import PeerStatusTable
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

EMPTY_STATUS = MemberStatus()


class Membership:
    """Tracks which members are alive, leaving, suspected or dead.

    Inside a region members probe each other as in SWIM (Das, Gupta and
    Motivala, 2002): directly, then through others, then by a suspicion that the
    suspect can refute.  Regions exchange digests through representatives.

    :param settings: periods and limits.
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
        self._own_status = EMPTY_STATUS
        self._peer_status = PeerStatusTable()
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
        """Return the current members; the same object until something changes."""
        unreachable = self._sync.unreachable_regions()
        key = (self._table.version, self._own, self._listed_leaving, unreachable)
        if self._view is None or key != self._view_key:
            self._view = build_view(
                self._table, self._own.address, self._is_leaving(), unreachable
            )
            self._view_key = key
        return self._view

    def advertise(
        self, configuration_offset: int, status: MemberStatus = EMPTY_STATUS
    ) -> None:
        """Set the offset and status that this instance sends with each probe.

        :param configuration_offset: the log offset that was last read.
        :param status: the other values to send.
        """
        self._configuration_offset = configuration_offset
        self._own_status = status

    def peer_offsets(self) -> dict[str, int]:
        """Return the offsets that members last advertised."""
        return self._peer_status.offsets

    def peer_loads(self) -> dict[str, int]:
        """Return the loads advertised by members of the region, and the own load.

        Each is as old as the last probe between the two instances: with one probe a
        second, on average half as many seconds as the region has members.
        """
        return {
            **self._peer_status.loads,
            self._own.address.instance: self._own_status.load,
        }

    def take_changes(self) -> list[MemberChange]:
        """Return the changes since the last call, for the audit trail."""
        changes = list(self._table.changes)
        self._table.changes.clear()
        return changes

    def apply_listing(self, listing: ListingFetched, now_ms: int) -> list[Action]:
        """Apply the platform's list; it is only a hint, probes decide.

        :param listing: the list, which may be out of date.
        """
        if not listing.ok:
            return []
        is_first = not self._listed
        self._listed = {
            address.instance: address
            for address in listing.live
            if address.instance != self._own.address.instance
        }
        for address in self._listed.values():
            self._table.apply(MemberUpdate(address), 'listed', now_ms)
        self._table.set_listed_leaving(listing.leaving, now_ms)
        if self._next_listing_ms is None:
            # A list that was read before the first tick is recent enough.
            self._next_listing_ms = now_ms + self._draw_listing_ms()
        own = self._own.address
        self._listed_leaving = own in listing.live and (own.instance in listing.leaving)
        self._sync.track_regions(now_ms)
        return self._announce(now_ms) if is_first and self._listed else []

    def leave(self, now_ms: int) -> list[Action]:
        """Announce that this instance takes no new work; it still acknowledges probes.

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
        """Handle a peer message of this package; other messages are ignored.

        :param sender: the name of the instance that signed the message.
        :param message: the decoded message.
        """
        origin = getattr(message, 'origin', None)
        if origin is not None:
            if origin.address.instance != sender:
                return []
            self._apply((origin,), 'heard from it', now_ms)
            self._sync.record_contact(origin.address.region, now_ms)
        if isinstance(message, Ping):
            return self._acknowledge_ping(message, now_ms)
        if isinstance(message, Ack):
            return self._handle_ack(message, now_ms)
        if isinstance(message, PingRequest):
            return self._prober.relay(message, self._build_ping, now_ms)
        if isinstance(message, RelayedAck):
            self._apply((message.target,), 'answered another member', now_ms)
            self._prober.record_ack(message.target.address.instance, message.sequence)
            return []
        if isinstance(message, Gossip):
            self._apply(message.updates, 'gossip', now_ms, message.bulk)
            return []
        if isinstance(message, Digest):
            self._peer_status.offsets[sender] = message.configuration_offset
            return self._sync.compare(message, self._own, now_ms)
        if isinstance(message, RegionSummary):
            return self._sync.reconcile(message, self._own)
        if isinstance(message, UpdateRequest):
            return self._sync.handle_update_request(message, self._own)
        return []

    def tick(self, now_ms: int) -> list[Action]:
        """Return the actions that are due.

        :param now_ms: the time; to be called several times a second.
        """
        self._compensate_for_pause(now_ms)
        actions: list[Action] = []
        actions.extend(self._fetch_listing(now_ms))
        actions.extend(self._prober.tick(self._own.address, self._build_ping, now_ms))
        for update in self._prober.pop_state_updates(now_ms):
            self._apply((update,), 'no answer', now_ms)
        actions.extend(self._send_gossip(now_ms))
        actions.extend(self._retry_dead(now_ms))
        actions.extend(self._sync.tick(self._own, self._configuration_offset, now_ms))
        return actions

    def _is_leaving(self) -> bool:
        return self._listed_leaving or self._own.state == MemberState.LEAVING

    def _compensate_for_pause(self, now_ms: int) -> None:
        """Extend all waits after a pause of this instance.

        A process that was paused for seconds finds every acknowledgement late when it
        resumes, and would declare healthy members dead.  All waits are extended by
        the length of the pause, so that unread messages are handled first.
        """
        last_tick_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_tick_ms is None:
            self._queue.add(self._own, now_ms)
            return
        if now_ms - last_tick_ms < self._settings.pause_ms:
            return
        self._prober.extend_waits(now_ms - last_tick_ms)
        self._table.extend_waits(now_ms - last_tick_ms)
        self._sync.extend_waits(now_ms - last_tick_ms)

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
                self._queue.record_duplicate(update)
                continue
            if known is not None or not bulk:
                self._queue.add(update, now_ms)
            if update.state == MemberState.DEAD:
                self._peer_status.remove(instance)

    def _refute(self, update: MemberUpdate, now_ms: int) -> None:
        """Refute a suspicion or a reported death of this incarnation."""
        own = self._own
        if update.address.incarnation != own.address.incarnation:
            return
        if update.precedence <= own.precedence:
            return
        self._own = own._replace(counter=update.counter + 1)
        self._queue.add(self._own, now_ms)

    def _acknowledge_ping(self, ping: Ping, now_ms: int) -> list[Action]:
        self._peer_status.record(ping)
        self._apply(ping.updates, 'gossip', now_ms)
        updates = self._updates_for(ping.origin, now_ms)
        ack = Ack(
            ping.sequence,
            self._own,
            self._configuration_offset,
            updates,
            self._own_status.load,
            self._own_status.shortages,
            self._wall_ms(now_ms),
            self._own_status.limits,
            self._own_status.leaving,
            self._own_status.tunnels,
            self._own_status.demands,
        )
        return [send_to(ping.origin.address, ack)]

    def _handle_ack(self, ack: Ack, now_ms: int) -> list[Action]:
        self._peer_status.record(ack)
        self._apply(ack.updates, 'gossip', now_ms)
        return self._prober.handle_ack(ack)

    def _updates_for(self, peer: MemberUpdate, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Return updates to piggyback, starting with a suspicion of the peer.

        The peer needs to see a suspicion or death of itself to refute it.
        """
        updates = self._queue.next_batch(len(self._table), now_ms)
        record = self._table.get(peer.address.instance)
        if record is None or record.update.state < MemberState.SUSPECT:
            return updates
        if record.update in updates:
            return updates
        return (record.update, *updates)

    def _build_ping(self, sequence: int, target: MemberAddress, now_ms: int) -> Ping:
        updates = self._updates_for(MemberUpdate(target), now_ms)
        return Ping(
            sequence,
            self._own,
            self._configuration_offset,
            updates,
            self._own_status.load,
            self._own_status.shortages,
            self._wall_ms(now_ms),
            self._own_status.limits,
            self._own_status.leaving,
            self._own_status.tunnels,
            self._own_status.demands,
        )

    def _wall_ms(self, now_ms: int) -> int:
        offset_ms = self._own_status.wall_offset_ms
        return now_ms + offset_ms if offset_ms is not None else 0

    def _announce(self, now_ms: int) -> list[Action]:
        """Send this instance's state to some members of each region."""
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
            updates = self._queue.next_batch(len(self._table), now_ms)
            if updates:
                actions.append(send_to(target, Gossip(updates)))
        return actions

    def _retry_dead(self, now_ms: int) -> list[Action]:
        """Probe one member that is considered dead, listed ones first.

        The two sides of a network partition declare each other dead.  Only these
        probes restore contact once the partition has healed.
        """
        if now_ms < self._next_dead_retry_ms:
            return []
        period_ms = self._settings.dead_retry_period_ms
        self._next_dead_retry_ms = now_ms + self._rng.randint(1, 2 * period_ms)
        self._table.expire_dead(now_ms)
        dead = [r.update.address for r in self._table.in_state(MemberState.DEAD)]
        if not dead:
            return []
        listed = [address for address in dead if address.instance in self._listed]
        target = self._rng.choice(listed or dead)
        return [send_to(target, self._build_ping(0, target, now_ms))]

    def _fetch_listing(self, now_ms: int) -> list[Action]:
        if self._next_listing_ms is not None and now_ms < self._next_listing_ms:
            return []
        self._next_listing_ms = now_ms + self._draw_listing_ms()
        return [FetchListing()]

    def _draw_listing_ms(self) -> int:
        """Return the delay to the next listing, randomised to spread the members."""
        settings = self._settings
        spaced_ms = settings.listing_spacing_ms * len(self._table)
        period_ms = max(settings.listing_period_ms, spaced_ms)
        if not self._listed:
            period_ms = settings.first_listing_period_ms
        return self._rng.randint(period_ms // 2, period_ms * 3 // 2)


def send_to(address: MemberAddress, message: tuple[object, ...]) -> SendPeer:
    """Return the action that sends a message to a member.

    :param address: the member's address.
    :param message: a registered peer message.
    """
    return SendPeer(address.instance, address.host, address.peer_port, message)
