"""Keeps this instance's entry in the store, and what the entries of all say."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.discovery.absent_instances import AbsentInstances
from savorychute.gateway.recovery.slack_sharers import SlackSharers
from savorychute.gateway.store.store_errors import StoreUnavailableError

if TYPE_CHECKING:
    import random

    from savorychute.clock import Clock
    from savorychute.gateway.recovery.retry_allowance import RetryAllowance
    from savorychute.gateway.store.instance_entry import InstanceListing
    from savorychute.gateway.store.registration import Registration
    from savorychute.gateway.telemetry import GatewayTelemetry
    from savorychute.membership.member_view import MemberView

TOPIC = 'instances'
REGISTER_RETRY_MS = 500
# After a cap of the repeats that the store did not take in.
CAP_RETRY_MS = 500
# All instances write again after the store went back; together they would be refused.
ENTER_AGAIN_MS = 1_000


class EntryKeeper:
    """Writes the entry, and lets the allowance of repeats follow the entries.

    :param registration: this instance's entry.
    :param allowance: of repeats, divided by all instances.
    :param clock: the time.
    :param rng: the source of random choices.
    :param telemetry: is told of failures of the store.
    """

    def __init__(
        self,
        registration: Registration,
        allowance: RetryAllowance,
        clock: Clock,
        rng: random.Random,
        telemetry: GatewayTelemetry,
    ) -> None:
        self.registration = registration
        self._allowance = allowance
        allowance.cap.on_increase_needed = self.follow_cap
        self._clock = clock
        self._rng = rng
        self._telemetry = telemetry
        self._sharers = SlackSharers()
        self._counted: MemberView | None = None
        self._absent = AbsentInstances()
        self._registered = False
        self._next_cap_ms = 0
        self._writing_cap: asyncio.Task[None] | None = None

    async def register(self) -> None:
        """Enter this instance, however long the store is away."""
        while True:
            try:
                await self.registration.register(self._allowance.inherit)
            except StoreUnavailableError as error:
                self._telemetry.store_failed(TOPIC, error)
                await asyncio.sleep(REGISTER_RETRY_MS / MS_PER_S)
            else:
                self._telemetry.store_answered(TOPIC)
                self._allowance.cap.mark_stored()
                self._registered = True
                return

    async def leave(self, repeats: float | None) -> None:
        """Write that this instance has left.

        :param repeats: the most that it can have sent to a service within the window of
            the retry bounds; None if it does not know.
        """
        try:
            await self.registration.leave(repeats)
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)

    async def enter_again(self) -> InstanceListing | None:
        """Write again what the store has lost, at another moment than the others do.

        :returns: the entries of all; None if the store does not answer.
        """
        await asyncio.sleep(self._rng.uniform(0, ENTER_AGAIN_MS) / MS_PER_S)
        try:
            listing = await self.registration.restore_entry()
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)
            return None
        self._telemetry.store_went_back(self.registration.era)
        return listing

    async def fetch_listing(self, view: MemberView) -> InstanceListing | None:
        """Return the entries of all; None if the store does not answer.

        An entry of this instance that is missing is written again, and those of instances
        that have been gone for long are removed.

        :param view: who is alive.
        """
        own = self.registration.address
        try:
            listing = await self.registration.list_instances()
            if own not in listing.live and own.instance not in view.leaving:
                await self.registration.write_entry()
            for instance in self._find_absent(listing, view):
                await self.registration.remove(instance)
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)
            return None
        self._telemetry.store_answered(TOPIC)
        return listing

    def _find_absent(
        self, listing: InstanceListing, view: MemberView
    ) -> frozenset[str]:
        present = {member.instance for member in view.alive} | view.leaving
        present |= {self.registration.address.instance}
        return self._absent.find_lasting(listing.names - present, self._clock.now_ms())

    def take_listing(self, listing: InstanceListing, view: MemberView) -> None:
        """Count the instances that the store lists.

        :param listing: the entries of all.
        :param view: who is alive.
        """
        self._sharers.set_listed(listing.names)
        self._counted = None
        self.follow_members(view)

    def follow_members(self, view: MemberView) -> None:
        """Count instances that have started since the listing.

        :param view: who is alive.
        """
        if view is self._counted:
            return
        self._counted = view
        self._sharers.add_alive(member.instance for member in view.alive)
        self._allowance.instances = self._sharers.count

    def follow_cap(self) -> None:
        """Let the entry state the cap of the repeats that the allowance needs."""
        is_writing = self._writing_cap is not None and not self._writing_cap.done()
        now_ms = self._clock.now_ms()
        if not self._registered or is_writing or now_ms < self._next_cap_ms:
            return
        change = self._allowance.find_cap_change(now_ms)
        if change is None:
            return
        loop = asyncio.get_running_loop()
        self._writing_cap = loop.create_task(self._write_cap(change))

    async def _write_cap(self, repeats: float) -> None:
        self._allowance.cap.change_started(repeats)
        try:
            await self.registration.write_retry_limit(repeats)
        except StoreUnavailableError as error:
            self._next_cap_ms = self._clock.now_ms() + CAP_RETRY_MS
            self._telemetry.store_failed(TOPIC, error)
            return
        self._allowance.cap.change_confirmed(repeats)
        self._telemetry.repeats_allowed(repeats)
