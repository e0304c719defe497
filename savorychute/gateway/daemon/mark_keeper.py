"""Keeps the marks in the store in line with the versions that are listed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.store.store_errors import (
    StoreUnavailableError,
    WriteConflictError,
)
from savorychute.gateway.streams.stream_news import StreamNews, VersionMark
from savorychute.gateway.streams.stream_origin import StreamOrigin
from savorychute.gateway.streams.version_marks import Mark
from savorychute.membership.rendezvous import score_member

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from savorychute.clock import Clock
    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.configuration.route_table import RouteTable
    from savorychute.gateway.daemon.stream_store import MarkListing, StreamStore
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.store.store_era import StoreEra
    from savorychute.gateway.stream_telemetry import StreamTelemetry
    from savorychute.gateway.streams.stream_origins import StreamOrigins
    from savorychute.membership.member_view import MemberView

TICK_INTERVAL_MS = 100
# Instances write a missing mark one after the other, until one has succeeded.
TURN_MS = 150
# Instances that start together do not know each other yet.
START_TURN_MS = (500, 2_000)
RETRY_MS = 1_000
# After the store went back to an older copy, endpoints are listed again within this time.
RELIST_MS = 3_000
# As many instances may write that the marks are complete in an era of the store.
ERA_WRITERS = 3
MAX_STAMP = 1 << 31


class MarkKeeper:
    """Writes a mark for each version before streams begin at it, and removes old ones.

    :param store: the marks in the store.
    :param origins: what this instance knows of them.
    :param roster: the listed endpoints.
    :param configuration: tells which services generate streams that can be resumed.
    :param eras: the newest known era of the store.
    :param clock: the clock.
    :param rng: random numbers for stamps and delays.
    :param telemetry: logs changes of marks.
    """

    def __init__(
        self,
        store: StreamStore,
        origins: StreamOrigins,
        roster: EndpointRoster,
        configuration: ConfigurationState,
        eras: StoreEra,
        clock: Clock,
        rng: random.Random,
        telemetry: StreamTelemetry,
    ) -> None:
        self._store = store
        self._origins = origins
        self._marks = origins.marks
        self._roster = roster
        self._configuration = configuration
        self._eras = eras
        self._clock = clock
        self._rng = rng
        self._telemetry = telemetry
        self._started_ms = clock.now_ms()
        self._start_turn_ms = rng.randint(*START_TURN_MS)
        self._next_write_ms = 0
        # The services of the configuration in force whose streams can be resumed.
        self._table: RouteTable | None = None
        self._services: frozenset[str] = frozenset()
        self._era = 0
        self._era_seen_ms = 0
        self._complete_era = 0
        self._ranked_view: MemberView | None = None
        self._ranks: dict[str, int] = {}
        store.on_listing = self._apply_listing

    async def run(self) -> None:
        """Keep the marks until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._observe())
            group.create_task(self._write())

    async def _observe(self) -> None:
        """Observe the listed versions, also while the store is slow."""
        while True:
            now_ms = self._clock.now_ms()
            self._marks.observe(self._listed_origins(), now_ms)
            mixed_services = self._marks.mixed_services(now_ms)
            self._origins.teller.set_stored_services(mixed_services)
            await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_S)

    def _listed_origins(self) -> set[StreamOrigin]:
        return {
            StreamOrigin(service, version)
            for service in self._resumable_services()
            for version in self._roster.versions(service)
            if version is not None
        }

    def _resumable_services(self) -> frozenset[str]:
        table = self._configuration.table
        if table is not None and table is not self._table:
            self._table = table
            self._services = frozenset(
                share.service
                for route in table.deployment.routes
                if route.kind is RequestKind.STREAM and route.resumable
                for share in route.shares
            )
        return self._services

    async def _write(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= self._next_write_ms:
                try:
                    await self._write_due(now_ms)
                except (StoreUnavailableError, WriteConflictError):
                    delay_ms = RETRY_MS * self._rng.uniform(0.5, 1.0)
                    self._next_write_ms = self._clock.now_ms() + int(delay_ms)
            await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_S)

    async def _write_due(self, now_ms: int) -> None:
        """Make the changes that are due.

        :raises StoreUnavailableError: if the store does not respond.
        :raises WriteConflictError: if another instance writes at the same time.
        """
        if self._marks.needs_listing(now_ms):
            await self._store.list_all()
        await self._follow_era(now_ms)
        for service in self._marks.services_to_mark(self._turn_ms, now_ms):
            await self._mark(service)
        for mark in self._marks.removable_marks(now_ms):
            if self._rank(mark.origin.service) == 0:
                await self._remove(mark)

    def _turn_ms(self, service: str) -> int:
        """Return for how long this instance leaves a mark to others."""
        is_starting = self._clock.now_ms() - self._started_ms < max(START_TURN_MS)
        turn_ms = self._start_turn_ms if is_starting else 0
        return turn_ms + TURN_MS * self._rank(service)

    def _rank(self, service: str) -> int:
        """Return how many instances come before this one with marks of a service."""
        view = self._origins.view
        if view is None:
            return 0
        if view is not self._ranked_view:
            self._ranked_view = view
            self._ranks.clear()
        if service not in self._ranks:
            key = f'versions/{service}'
            own_score = score_member(key, view.own)
            scores = (score_member(key, each) for each in view.alive)
            self._ranks[service] = sum(score > own_score for score in scores)
        return self._ranks[service]

    # -- changes

    async def _mark(self, service: str) -> None:
        """Mark the listed versions of a service, all at once."""
        listing = await self._store.list_all()
        missing = self._marks.unmarked_versions(service)
        if not missing:
            return
        versions = _versions_of(service, listing)
        stamp = self._rng.randrange(1, MAX_STAMP)
        versions |= dict.fromkeys(missing, stamp)
        await self._store.write_marks(service, versions, listing.end)
        now_ms = self._clock.now_ms()
        for version in missing:
            origin = StreamOrigin(service, version)
            self._marks.add(Mark(origin, stamp), now_ms)
            self._telemetry.version_marked(origin, 'marked')
        self._broadcast(VersionMark(service, each, stamp) for each in missing)

    async def _remove(self, mark: Mark) -> None:
        """Remove a mark, unless it was written again meanwhile."""
        origin = mark.origin
        listing = await self._store.list_all()
        if listing.stamps.get(origin) != mark.stamp:
            return
        versions = _versions_of(origin.service, listing)
        del versions[origin.version]
        await self._store.write_marks(origin.service, versions, listing.end)
        self._marks.remove(origin)
        self._telemetry.version_marked(origin, 'removed')
        self._broadcast([VersionMark(origin.service, origin.version, 0)])

    def _broadcast(self, marks: Iterable[VersionMark]) -> None:
        self._origins.broadcast(StreamNews(marks=tuple(marks)))

    def _apply_listing(self, listing: MarkListing, started_ms: int) -> None:
        self._complete_era = max(self._complete_era, listing.complete_era)
        went_back = listing.era > self._era > 0
        is_complete = listing.complete_era >= listing.era and not went_back
        self._marks.apply_listing(listing.stamps, started_ms, complete=is_complete)

    # -- an older copy of the store

    async def _follow_era(self, now_ms: int) -> None:
        """Write again what an older copy of the store lacks, then that it is complete."""
        era = self._eras.current
        if era != self._era:
            if self._era:
                await self._restore_marks()
                self._origins.teller.store_went_back()
            self._era, self._era_seen_ms = era, now_ms
        if not era or self._complete_era >= era or self._rank('') >= ERA_WRITERS:
            return
        if now_ms - self._era_seen_ms < RELIST_MS + self._turn_ms(''):
            return
        listing = await self._store.list_all()
        if listing.complete_era < era == listing.era:
            await self._store.write_era(era, listing.end)

    async def _restore_marks(self) -> None:
        """Write the known marks that the store lacks."""
        while True:
            listing = await self._store.list_all()
            known = self._marks.stamps()
            lost = [origin for origin in known if origin not in listing.stamps]
            if not lost:
                return
            service = lost[0].service
            versions = _versions_of(service, listing)
            for origin in lost:
                if origin.service == service:
                    versions[origin.version] = known[origin]
            await self._store.write_marks(service, versions, listing.end)


def _versions_of(service: str, listing: MarkListing) -> dict[str, int]:
    """Return the stamps of the marked versions of a service."""
    return {
        origin.version: stamp
        for origin, stamp in listing.stamps.items()
        if origin.service == service
    }
