"""What an instance of a virtual run asks of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.inputs import AppendFinished, ListingFetched, RecordsRead
from savorychute.testing.matrix import steps

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.actions import AppendRecord, FetchListing, ReadRecords
    from savorychute.inputs import Input
    from savorychute.testing.surroundings import Surroundings

CONFIGURATION_STREAM = 'configuration'
LOST_REPLY_MS = 2_000.0


class PlatformLink:
    """Carries appends, reads and the list, each with its delay.

    :param world: what all parts of the run share.
    :param instance: whose actions these are.
    :param deliver: takes the answers.
    """

    def __init__(
        self, world: Surroundings, instance: str, deliver: Callable[[Input], None]
    ) -> None:
        self._world = world
        self._instance = instance
        self._deliver = deliver

    def append(self, append: AppendRecord) -> None:
        """Carry out an append."""
        if append.stream == CONFIGURATION_STREAM:
            self._world.reached(steps.APPENDING, steps.ANY_COMMAND, self._instance)
        self._world.heap.call_later(
            self._world.log.delay_ms / 2, self._carry_append, append
        )

    def _carry_append(self, append: AppendRecord) -> None:
        world = self._world
        answer = world.log.append(append.stream, append.payload, world.heap.now_ms)
        outcome = 'appended' if answer.outcome == 'appended' else 'refused'
        delay_ms = world.log.delay_ms / 2
        if answer.outcome == 'lost':
            outcome = 'unknown'
            delay_ms = LOST_REPLY_MS
        offset = answer.offset if outcome == 'appended' else -1
        finished = AppendFinished(append.append_id, append.stream, outcome, offset)
        world.heap.call_later(delay_ms, self._deliver, finished)
        if append.stream == CONFIGURATION_STREAM:
            world.reached(steps.APPENDED, steps.ANY_COMMAND, self._instance)

    def read(self, read: ReadRecords) -> None:
        """Carry out a read."""
        self._world.heap.call_later(
            self._world.log.delay_ms / 2, self._carry_read, read
        )

    def _carry_read(self, read: ReadRecords) -> None:
        world = self._world
        answer = world.log.read(
            read.stream, read.from_offset, read.max_records, world.heap.now_ms
        )
        result = RecordsRead(read.stream, False)
        if answer is not None:
            result = RecordsRead(read.stream, True, *answer)
        world.heap.call_later(world.log.delay_ms / 2, self._deliver, result)

    def fetch_listing(self, _fetch: FetchListing) -> None:
        """Fetch the list of instances."""
        world = self._world
        listing = world.listing.fetch(world.heap.now_ms)
        fetched = ListingFetched(False)
        if listing is not None:
            fetched = ListingFetched(True, listing.live, listing.leaving)
        world.heap.call_later(world.log.settings.latency_ms, self._deliver, fetched)
