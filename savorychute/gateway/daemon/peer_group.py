"""Takes part in the group of instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.actions.fetch_listing import FetchListing
from savorychute.actions.send_peer import SendPeer
from savorychute.clock import MS_PER_S
from savorychute.daemon.peer_link import open_peer_link
from savorychute.gateway.daemon.peer_message_router import PeerMessageRouter
from savorychute.gateway.daemon.tunnel_server import open_tunnel_server
from savorychute.gateway.discovery.advertisement import NOT_READY_VERSION
from savorychute.inputs.listing_fetched import ListingFetched
from savorychute.inputs.peer_received import PeerReceived
from savorychute.membership.membership import Membership
from savorychute.membership.settings import MembershipSettings
from savorychute.wire.peer_codec import PeerCodec

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine, Iterable

    from savorychute.actions import Action
    from savorychute.clock import Clock
    from savorychute.daemon.peer_link import PeerLink
    from savorychute.gateway.daemon.entry_manager import EntryManager
    from savorychute.gateway.daemon.path_connector import PathConnector
    from savorychute.gateway.daemon.peer_message_router import PeerParts
    from savorychute.gateway.store.instance_entry import InstanceListing
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.inputs import Input
    from savorychute.membership.member_view import MemberView

TICK_INTERVAL_MS = 100
# With two probes a second a killed peer is suspected within about 1 s, and callers
# receive other addresses.
MEMBERSHIP_SETTINGS = MembershipSettings(
    probe_period_ms=500,
    probe_timeout_ms=200,
    suspicion_ms=2_000,
    challenge_ms=800,
    dead_retry_period_ms=2_000,
    # Members find each other by gossip; a listing finds only those it did not reach.
    listing_period_ms=30_000,
    listing_spacing_ms=500,
)


class PeerGroup:
    """Registers in the store, probes other instances, and records which are ready.

    :param entry: manages the entry of this instance in the store.
    :param eras: the newest known era of the store.
    :param parts: the parts that exchange messages with other instances.
    :param connector: requests tunnels from other instances.
    :param tunnel_port: where other instances request tunnels; 0 for any free port.
    :param clock: monotonic clock.
    :param rng: random number generator.
    :param telemetry: logs changes of members.
    """

    def __init__(
        self,
        entry: EntryManager,
        eras: StoreEra,
        parts: PeerParts,
        connector: PathConnector,
        tunnel_port: int,
        clock: Clock,
        rng: random.Random,
        telemetry: GatewayTelemetry,
    ) -> None:
        self._entry = entry
        self._registration = entry.registration
        self._eras = eras
        self._reregistering = False
        self._parts = parts
        self._connector = connector
        self._tunnel_port = tunnel_port
        self._message_router = PeerMessageRouter(parts, rng)
        self._clock = clock
        self._rng = rng
        self._telemetry = telemetry
        self._membership: Membership | None = None
        self._link: PeerLink | None = None
        self._codec: PeerCodec | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.advertised_version = NOT_READY_VERSION

    def view(self) -> MemberView | None:
        """Return the members, or None before this instance has registered."""
        return self._membership.view() if self._membership is not None else None

    async def run(self) -> None:
        """Take part in the group until the task is cancelled."""
        await self._entry.register()
        keys = self._registration.keys
        assert keys is not None
        address = self._registration.address
        codec = PeerCodec(address.instance, address.incarnation, keys)
        self._codec = codec
        tunnels = self._parts.tunnels
        self._connector.encode = codec.encode
        tunnels.decode = codec.decode
        async with (
            open_peer_link(codec, address.host, address.peer_port) as link,
            open_tunnel_server(tunnels, address.host, self._tunnel_port),
        ):
            self._link = link
            self._parts.permits.send = link.send
            self._parts.origins.connect(link.send)
            self._parts.crashes.connect(link.send)
            self._membership = Membership(MEMBERSHIP_SETTINGS, address, self._rng)
            link.on_input = self._receive
            self._apply_listing(self._registration.listing)
            while True:
                self._tick()
                await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_S)

    async def leave(self, max_retries: float | None) -> None:
        """Notify the other instances, and write that this instance has left.

        :param max_retries: the most retries that it can have sent to a service within
            the window of the retry bounds; None if that is unknown.
        """
        if self._membership is None:
            return
        self._execute(self._membership.leave(self._clock.now_ms()))
        await self._entry.leave(max_retries)

    def report_usage(self) -> None:
        """Send the last usage counts before this instance ends."""
        if self._parts.usage is not None:
            self._execute(self._parts.usage.broadcast())

    def _tick(self) -> None:
        membership = self._membership
        assert membership is not None
        now_ms = self._clock.now_ms()
        membership.advertise(
            self.advertised_version, self._message_router.make_update(now_ms)
        )
        if self._eras.current != self._registration.era and not self._reregistering:
            self._reregistering = True
            self._start_task(self._reregister())
        self._execute(membership.tick(now_ms))
        view = membership.view()
        self._entry.set_members(view)
        self._entry.update_retry_cap()
        self._execute(self._message_router.tick(view, now_ms))
        for change in membership.take_changes():
            self._telemetry.member_changed(change)

    def _receive(self, received: Input) -> None:
        membership = self._membership
        if membership is None or not isinstance(received, PeerReceived):
            return
        sender, message = received
        now_ms = self._clock.now_ms()
        self._execute(membership.receive(sender, message, now_ms))
        view = membership.view()
        self._execute(self._message_router.handle(sender, message, view, now_ms))
        self._message_router.record_readiness(sender, message, view, now_ms)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPeer) and self._link is not None:
                self._link.send(action)
            elif isinstance(action, FetchListing):
                self._start_task(self._fetch_listing())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reregister(self) -> None:
        try:
            listing = await self._entry.reregister()
        finally:
            self._reregistering = False
        if listing is None:
            return
        if self._codec is not None and self._registration.keys is not None:
            self._codec.keys = self._registration.keys
        self._apply_listing(listing)

    async def _fetch_listing(self) -> None:
        assert self._membership is not None
        listing = await self._entry.fetch_listing(self._membership.view())
        if listing is not None:
            self._apply_listing(listing)

    def _apply_listing(self, listing: InstanceListing) -> None:
        assert self._membership is not None
        self._entry.apply_listing(listing, self._membership.view())
        fetched = ListingFetched(live=listing.live, leaving=frozenset(), ok=True)
        self._execute(self._membership.apply_listing(fetched, self._clock.now_ms()))
