"""This instance among its peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.actions.fetch_listing import FetchListing
from savorychute.actions.send_peer import SendPeer
from savorychute.clock import MS_PER_S
from savorychute.daemon.peer_link import open_peer_link
from savorychute.gateway.discovery.advertised import NOT_READY, read_advertised
from savorychute.gateway.duties.usage_told import UsageTold
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.gateway.recovery.crash_inquiry import CrashInquiry
from savorychute.gateway.recovery.crash_news import CrashNews
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_spread import CrashSpread
from savorychute.gateway.store.store_answer import StoreAnswer
from savorychute.gateway.store.store_question import StoreQuestion
from savorychute.inputs.listing_fetched import ListingFetched
from savorychute.inputs.peer_received import PeerReceived
from savorychute.membership.ack import Ack
from savorychute.membership.membership import Membership
from savorychute.membership.ping import Ping
from savorychute.membership.settings import MembershipSettings
from savorychute.wire.peer_codec import PeerCodec

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Iterable

    from savorychute.actions import Action
    from savorychute.clock import Clock
    from savorychute.daemon.peer_link import PeerLink
    from savorychute.gateway.daemon.entry_keeper import EntryKeeper
    from savorychute.gateway.discovery.instance_directory import InstanceDirectory
    from savorychute.gateway.dispatch.lane_demand import LaneDemand
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.duties.duty_candidates import DutyCandidates
    from savorychute.gateway.duties.true_time import TrueTime
    from savorychute.gateway.duties.usage_spread import UsageSpread
    from savorychute.gateway.endpoints.statement_book import StatementBook
    from savorychute.gateway.permits.permit_desk import PermitDesk
    from savorychute.gateway.recovery.crash_book import CrashBook
    from savorychute.gateway.store.instance_entry import InstanceListing
    from savorychute.gateway.store.reading_plan import ReadingPlan
    from savorychute.gateway.store.shared_reading import SharedReading
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.inputs import Input
    from savorychute.membership.member_view import MemberView

TICK_MS = 100
# Two probes a second: a peer that was killed is suspected within about a second, and
# callers are told other addresses.
SETTINGS = MembershipSettings(
    probe_period_ms=500,
    probe_timeout_ms=200,
    suspicion_ms=2_000,
    challenge_ms=800,
    dead_retry_period_ms=2_000,
    # Members meet by gossip; a listing only finds those that no gossip reached.
    listing_period_ms=30_000,
    listing_spacing_ms=500,
)


class PeerGroup:
    """Registers in the store, probes the others, and hears who is ready.

    :param entry: of this instance in the store.
    :param eras: the newest era that is known of the store.
    :param directory: what callers are told.
    :param crashes: requests that crash endpoints, told to all.
    :param demand: of engines, told to all.
    :param shortages: tiers that get too little, told to all.
    :param statements: what endpoints say of themselves, told to all.
    :param permits: for endpoints that take only so many calls.
    :param count_streams: how many steady streams of this instance run.
    :param plan: who reads the store.
    :param reading: what others have read.
    :param candidates: who may hold the duties.
    :param usage: what endpoints began, told to those who may report it.
    :param time: the true time, of which instances tell each other.
    :param clock: the time.
    :param rng: the source of random choices.
    :param telemetry: is told of members that come and go.
    """

    def __init__(
        self,
        entry: EntryKeeper,
        eras: StoreEra,
        directory: InstanceDirectory,
        crashes: CrashBook,
        demand: LaneDemand,
        shortages: Shortages,
        statements: StatementBook,
        permits: PermitDesk,
        count_streams: Callable[[], int],
        plan: ReadingPlan,
        reading: SharedReading,
        candidates: DutyCandidates,
        usage: UsageSpread | None,
        time: TrueTime,
        clock: Clock,
        rng: random.Random,
        telemetry: GatewayTelemetry,
    ) -> None:
        self._entry = entry
        self._registration = entry.registration
        self._eras = eras
        self._entering = False
        self._directory = directory
        self._crashes = crashes
        self._demand = demand
        self._shortages = shortages
        self._statements = statements
        self._permits = permits
        self._count_streams = count_streams
        self._plan = plan
        self._reading = reading
        self._candidates = candidates
        self._usage = usage
        self._time = time
        self._spread = CrashSpread(crashes)
        self._inquiry = CrashInquiry(rng)
        self._clock = clock
        self._rng = rng
        self._telemetry = telemetry
        self._membership: Membership | None = None
        self._link: PeerLink | None = None
        self._codec: PeerCodec | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.ready_version = NOT_READY

    def view(self) -> MemberView | None:
        """Return the members, or None before this instance has registered."""
        return self._membership.view() if self._membership is not None else None

    async def run(self) -> None:
        """Take part until the task is cancelled."""
        await self._entry.register()
        keys = self._registration.keys
        assert keys is not None
        address = self._registration.address
        codec = PeerCodec(address.instance, address.incarnation, keys)
        self._codec = codec
        async with open_peer_link(codec, address.host, address.peer_port) as link:
            self._link = link
            self._permits.send = link.send
            self._membership = Membership(SETTINGS, address, self._rng)
            link.on_input = self._take
            self._take_listing(self._registration.listing)
            while True:
                self._tick()
                await asyncio.sleep(TICK_MS / MS_PER_S)

    async def leave(self, repeats: float | None) -> None:
        """Tell the others, and write that this instance has left.

        :param repeats: the most that it can have sent to a service within the window of
            the retry bounds; None if it does not know.
        """
        if self._membership is None:
            return
        self._carry_out(self._membership.leave(self._clock.now_ms()))
        await self._entry.leave(repeats)

    def tell_usage(self) -> None:
        """Tell the last counts, before this instance ends."""
        if self._usage is not None:
            self._carry_out(self._usage.tell())

    def _tick(self) -> None:
        membership = self._membership
        assert membership is not None
        now_ms = self._clock.now_ms()
        membership.advertise(
            self.ready_version,
            self._demand.advertised(now_ms),
            self._shortages.advertised(now_ms),
            self._time.own_offset_ms() if self._usage is not None else None,
            self._statements.limits.told(now_ms),
            self._statements.leaving.told(now_ms),
        )
        if self._eras.current != self._registration.era and not self._entering:
            self._entering = True
            self._start(self._enter_again())
        self._carry_out(membership.tick(now_ms))
        view = membership.view()
        self._entry.follow_members(view)
        self._entry.follow_cap()
        self._plan.follow(view)
        self._permits.follow(view)
        self._demand.observe(self._count_streams(), len(view.alive), now_ms)
        self._shortages.instances = max(1, len(view.alive))
        self._carry_out(self._spread.tick(view, now_ms))
        self._carry_out(self._inquiry.tick(view, now_ms))
        self._carry_out(self._reading.tick(now_ms))
        self._candidates.follow(view)
        if self._usage is not None:
            self._carry_out(self._usage.tick(now_ms))
        for change in membership.take_changes():
            self._telemetry.member_changed(change)

    def _take(self, received: Input) -> None:
        membership = self._membership
        if membership is None or not isinstance(received, PeerReceived):
            return
        sender, message = received
        now_ms = self._clock.now_ms()
        if isinstance(message, CrashNews):
            self._crashes.take_in(message.sightings, now_ms - message.age_ms)
        elif isinstance(message, CrashQuestion):
            asker = membership.view().address_of(sender)
            if asker is not None:
                self._carry_out(self._spread.answer(asker, now_ms))
        elif isinstance(message, StoreAnswer):
            self._reading.take_answer(message, now_ms)
        elif isinstance(message, UsageTold):
            if self._usage is not None:
                self._usage.take(sender, message)
        elif isinstance(message, StoreQuestion):
            answer = self._reading.answer(message, now_ms)
            self._answer(membership, sender, answer)
        elif isinstance(message, PermitQuestion):
            self._answer(membership, sender, self._permits.answer(message))
        elif isinstance(message, PermitAnswer):
            self._permits.take_answer(message)
        else:
            self._carry_out(membership.receive(sender, message, now_ms))
            if isinstance(message, Ack | Ping):
                self._demand.hear(message.load, now_ms)
                self._shortages.hear(message.shortages, now_ms)
                self._statements.limits.hear(message.limits, now_ms)
                self._statements.leaving.hear(message.leaving, now_ms)
                self._time.hear(sender, message.wall_ms, now_ms)
            said = read_advertised(message)
            if said is not None:
                ready = said.ready and sender not in membership.view().leaving
                self._directory.hear(said.address, ready, now_ms)

    def _answer(
        self, membership: Membership, asker: str, answer: tuple[object, ...]
    ) -> None:
        member = membership.view().address_of(asker)
        if member is None:
            return  # It has not been heard of yet; it will ask another one.
        action = SendPeer(member.instance, member.host, member.peer_port, answer)
        self._carry_out([action])

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, SendPeer) and self._link is not None:
                self._link.send(action)
            elif isinstance(action, FetchListing):
                self._start(self._fetch_listing())

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _enter_again(self) -> None:
        try:
            listing = await self._entry.enter_again()
        finally:
            self._entering = False
        if listing is None:
            return
        if self._codec is not None and self._registration.keys is not None:
            self._codec.keys = self._registration.keys
        self._take_listing(listing)

    async def _fetch_listing(self) -> None:
        assert self._membership is not None
        listing = await self._entry.fetch_listing(self._membership.view())
        if listing is not None:
            self._take_listing(listing)

    def _take_listing(self, listing: InstanceListing) -> None:
        assert self._membership is not None
        self._entry.take_listing(listing, self._membership.view())
        fetched = ListingFetched(live=listing.live, leaving=frozenset(), ok=True)
        self._carry_out(self._membership.apply_listing(fetched, self._clock.now_ms()))
