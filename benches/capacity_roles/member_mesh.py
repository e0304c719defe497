"""Memberships that exchange messages in one process, on a virtual clock."""

from __future__ import annotations

import heapq
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions import FetchListing, SendPeer
from savorychute.inputs import ListingFetched
from savorychute.member_address import MemberAddress
from savorychute.membership import Membership, MembershipSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from savorychute.actions import Action

TICK_MS = 50
DELAY_MS = 2
DOMAINS_PER_REGION = 3


class Delivery(NamedTuple):
    """A message in transit; ``number`` orders messages of the same time."""

    at_ms: int
    number: int
    sender: str
    target: str
    message: tuple[object, ...]


class MemberMesh:
    """A fake network with delay, loss, pauses, partitions and a stale listing.

    :param settings: the settings of all memberships.
    :param seed: seed of all random numbers.
    """

    def __init__(
        self, settings: MembershipSettings | None = None, seed: int = 1
    ) -> None:
        self.settings = settings or MembershipSettings()
        self.rng = Random(seed)
        self.now_ms = 0
        self.loss_share = 0.0
        self.members: dict[str, Membership] = {}
        self.addresses: dict[str, MemberAddress] = {}
        self.listed: dict[str, MemberAddress] = {}
        self.listed_leaving: frozenset[str] = frozenset()
        self.paused_until_ms: dict[str, int] = {}
        self.is_cut: Callable[[MemberAddress, MemberAddress], bool] = no_cut
        self.on_send: Callable[[str, str, tuple[object, ...]], None] | None = None
        self.on_tick: Callable[[str], None] | None = None
        self.on_deliver: Callable[[str, str, tuple[object, ...]], None] | None = None
        self._ticks: list[tuple[int, str]] = []
        self._deliveries: list[Delivery] = []
        self._number = 0

    def start(self, address: MemberAddress, listed: bool = True) -> Membership:
        """Start an instance, or restart the one of the same name.

        :param address: its address.
        :param listed: whether the listing contains it at once.
        """
        member = Membership(self.settings, address, Random(self.rng.random()))
        self.members[address.instance] = member
        self.addresses[address.instance] = address
        if listed:
            self.listed[address.instance] = address
        first_ms = self.now_ms + self.rng.randrange(TICK_MS)
        heapq.heappush(self._ticks, (first_ms, address.instance))
        return member

    def stop(self, instance: str, listed: bool = False) -> None:
        """Kill an instance.

        :param instance: its name.
        :param listed: whether the listing still contains it.
        """
        del self.members[instance]
        self._ticks = [entry for entry in self._ticks if entry[1] != instance]
        heapq.heapify(self._ticks)
        if not listed:
            self.listed.pop(instance, None)

    def pause(self, instance: str, duration_ms: int) -> None:
        """Suspend an instance; messages to it are delayed.

        :param instance: its name.
        :param duration_ms: duration of the pause.
        """
        self.paused_until_ms[instance] = self.now_ms + duration_ms

    def leave(self, instance: str) -> None:
        """Start a graceful shutdown of an instance.

        :param instance: its name.
        """
        self._execute_actions(instance, self.members[instance].leave(self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Advance the virtual clock.

        :param duration_ms: by how much.
        """
        self.run_until(lambda: False, duration_ms)

    def run_until(self, done: Callable[[], bool], limit_ms: int) -> int | None:
        """Advance the virtual clock until a condition holds.

        :param done: the condition, checked once per tick period.
        :param limit_ms: the maximum time.
        :returns: the elapsed milliseconds, or None if the condition did not hold.
        """
        start_ms = self.now_ms
        while self.now_ms - start_ms < limit_ms:
            self._step(self.now_ms + TICK_MS)
            if done():
                return self.now_ms - start_ms
        return None

    def _step(self, end_ms: int) -> None:
        while True:
            tick_ms = self._ticks[0][0] if self._ticks else end_ms
            delivery_ms = self._deliveries[0].at_ms if self._deliveries else end_ms
            if min(tick_ms, delivery_ms) >= end_ms:
                break
            self.now_ms = max(self.now_ms, min(tick_ms, delivery_ms))
            if delivery_ms <= tick_ms:
                self._deliver(heapq.heappop(self._deliveries))
            else:
                self._tick(heapq.heappop(self._ticks)[1])
        self.now_ms = end_ms

    def _tick(self, instance: str) -> None:
        until_ms = self.paused_until_ms.get(instance, 0)
        if until_ms > self.now_ms:
            heapq.heappush(self._ticks, (until_ms, instance))
            return
        if self.on_tick is not None:
            self.on_tick(instance)
        self._execute_actions(instance, self.members[instance].tick(self.now_ms))
        heapq.heappush(self._ticks, (self.now_ms + TICK_MS, instance))

    def _deliver(self, delivery: Delivery) -> None:
        member = self.members.get(delivery.target)
        if member is None:
            return
        until_ms = self.paused_until_ms.get(delivery.target, 0)
        if until_ms > self.now_ms:
            # After the tick of the same time: a resumed process ticks first.
            heapq.heappush(self._deliveries, delivery._replace(at_ms=until_ms + 1))
            return
        if self.on_deliver is not None:
            self.on_deliver(delivery.sender, delivery.target, delivery.message)
        actions = member.receive(delivery.sender, delivery.message, self.now_ms)
        self._execute_actions(delivery.target, actions)

    def _execute_actions(self, instance: str, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, FetchListing):
                listing = ListingFetched(
                    True, tuple(self.listed.values()), self.listed_leaving
                )
                reply = self.members[instance].apply_listing(listing, self.now_ms)
                self._execute_actions(instance, reply)
            elif isinstance(action, SendPeer):
                self._send(instance, action)

    def _send(self, sender: str, action: SendPeer) -> None:
        if self.on_send is not None:
            self.on_send(sender, action.instance, action.message)
        if self.rng.random() < self.loss_share:
            return
        source = self.addresses[sender]
        target = self.addresses[action.instance]
        if self.is_cut(source, target):
            return
        self._number += 1
        delivery = Delivery(
            self.now_ms + DELAY_MS,
            self._number,
            sender,
            action.instance,
            action.message,
        )
        heapq.heappush(self._deliveries, delivery)


def no_cut(source: MemberAddress, target: MemberAddress) -> bool:
    """Return False, as every instance can reach every other."""
    return source is target


def make_address(number: int, regions: int = 1, incarnation: int = 1) -> MemberAddress:
    """Return the address of instance *number*; regions are assigned in turn.

    :param number: the number of the instance, from 0.
    :param regions: the number of regions.
    :param incarnation: larger at each start.
    """
    region = number % regions
    domain = number // regions % DOMAINS_PER_REGION
    return MemberAddress(
        f'entry-{number:04}',
        incarnation,
        f'region-{region}',
        f'region-{region}-hall-{domain}',
        f'10.{region}.{domain}.{number % 250 + 1}',
        8400,
        8500,
    )
