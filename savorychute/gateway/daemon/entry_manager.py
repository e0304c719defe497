"""Manages this instance's entry in the store, and reads the entries of all."""

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
# Delay after a failed write of the cap on retries.
CAP_WRITE_RETRY_MS = 500
# All instances register again after the store went back to an older copy.  The writes
# are spread over this time, because the store would refuse them if they came at once.
REREGISTER_SPREAD_MS = 1_000


class EntryManager:
    """Writes the entry, and updates the allowance of retries from the entries of all.

    :param registration: the entry of this instance.
    :param allowance: allowance of retries, which all instances share.
    :param clock: monotonic clock.
    :param rng: random number generator.
    :param telemetry: logs failures of the store.
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
        allowance.cap.on_increase_needed = self.update_retry_cap
        self._clock = clock
        self._rng = rng
        self._telemetry = telemetry
        self._sharers = SlackSharers()
        self._counted_view: MemberView | None = None
        self._absent_instances = AbsentInstances()
        self._registered = False
        self._next_cap_write_ms = 0
        self._cap_task: asyncio.Task[None] | None = None

    async def register(self) -> None:
        """Register this instance; try again until the store is available."""
        while True:
            try:
                await self.registration.register(self._allowance.inherit)
            except StoreUnavailableError as error:
                self._telemetry.store_failed(TOPIC, error)
                await asyncio.sleep(REGISTER_RETRY_MS / MS_PER_S)
            else:
                self._telemetry.store_responded(TOPIC)
                self._allowance.cap.mark_stored()
                self._registered = True
                return

    async def leave(self, max_retries: float | None) -> None:
        """Write that this instance has left.

        :param max_retries: the most retries that it can have sent to a service within
            the window of the retry bounds; None if that is unknown.
        """
        try:
            await self.registration.leave(max_retries)
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)

    async def reregister(self) -> InstanceListing | None:
        """Write the entries that the store has lost, after a random delay.

        :returns: the entries of all instances; None if the store is unavailable.
        """
        await asyncio.sleep(self._rng.uniform(0, REREGISTER_SPREAD_MS) / MS_PER_S)
        try:
            listing = await self.registration.restore_entry()
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)
            return None
        self._telemetry.store_went_back(self.registration.era)
        return listing

    async def fetch_listing(self, view: MemberView) -> InstanceListing | None:
        """Return the entries of all instances; None if the store is unavailable.

        If the entry of this instance is missing it is written again.  Entries of
        instances that have been absent for a long time are removed.

        :param view: the current members.
        """
        own = self.registration.address
        try:
            listing = await self.registration.list_instances()
            if own not in listing.live and own.instance not in view.leaving:
                await self.registration.write_entry()
            for instance in self._find_long_absent(listing, view):
                await self.registration.remove(instance)
        except StoreUnavailableError as error:
            self._telemetry.store_failed(TOPIC, error)
            return None
        self._telemetry.store_responded(TOPIC)
        return listing

    def _find_long_absent(
        self, listing: InstanceListing, view: MemberView
    ) -> frozenset[str]:
        present = {member.instance for member in view.alive} | view.leaving
        present |= {self.registration.address.instance}
        return self._absent_instances.find_long_absent(
            listing.names - present, self._clock.now_ms()
        )

    def apply_listing(self, listing: InstanceListing, view: MemberView) -> None:
        """Count the instances that the store lists.

        :param listing: the entries of all instances.
        :param view: the current members.
        """
        self._sharers.set_listed(listing.names)
        self._counted_view = None
        self.set_members(view)

    def set_members(self, view: MemberView) -> None:
        """Count instances that have started since the last listing.

        :param view: the current members.
        """
        if view is self._counted_view:
            return
        self._counted_view = view
        self._sharers.add_alive(member.instance for member in view.alive)
        self._allowance.instances = self._sharers.count

    def update_retry_cap(self) -> None:
        """Start writing the cap on retries that the allowance needs, if it changed."""
        is_writing = self._cap_task is not None and not self._cap_task.done()
        now_ms = self._clock.now_ms()
        if not self._registered or is_writing or now_ms < self._next_cap_write_ms:
            return
        change = self._allowance.find_cap_change(now_ms)
        if change is None:
            return
        loop = asyncio.get_running_loop()
        self._cap_task = loop.create_task(self._write_cap(change))

    async def _write_cap(self, max_retries: float) -> None:
        self._allowance.cap.change_started(max_retries)
        try:
            await self.registration.write_retry_cap(max_retries)
        except StoreUnavailableError as error:
            self._next_cap_write_ms = self._clock.now_ms() + CAP_WRITE_RETRY_MS
            self._telemetry.store_failed(TOPIC, error)
            return
        self._allowance.cap.change_confirmed(max_retries)
        self._telemetry.retries_allowed(max_retries)
