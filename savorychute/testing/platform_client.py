"""Access of a simulated instance to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.inputs import AppendFinished, ListingFetched, RecordsRead
from savorychute.testing.matrix import steps

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.actions import AppendRecord, FetchListing, ReadRecords
    from savorychute.inputs import Input
    from savorychute.testing.environment import Environment

CONFIGURATION_STREAM = 'configuration'
LOST_REPLY_TIMEOUT_MS = 2_000.0


class PlatformClient:
    """Executes appends, reads and fetches of the list, each with its delay.

    :param simulation: the environment that all parts of the run share.
    :param instance: the name of the instance.
    :param deliver: receives the results.
    """

    def __init__(
        self, simulation: Environment, instance: str, deliver: Callable[[Input], None]
    ) -> None:
        self._simulation = simulation
        self._instance = instance
        self._deliver = deliver

    def append(self, append: AppendRecord) -> None:
        """Execute an append."""
        if append.stream == CONFIGURATION_STREAM:
            self._simulation.reached(steps.APPENDING, steps.ANY_COMMAND, self._instance)
        self._simulation.heap.call_later(
            self._simulation.log.delay_ms / 2, self._execute_append, append
        )

    def _execute_append(self, append: AppendRecord) -> None:
        simulation = self._simulation
        append_result = simulation.log.append(
            append.stream, append.payload, simulation.heap.now_ms
        )
        outcome = 'appended' if append_result.outcome == 'appended' else 'refused'
        delay_ms = simulation.log.delay_ms / 2
        if append_result.outcome == 'lost':
            outcome = 'unknown'
            delay_ms = LOST_REPLY_TIMEOUT_MS
        offset = append_result.offset if outcome == 'appended' else -1
        finished = AppendFinished(append.append_id, append.stream, outcome, offset)
        simulation.heap.call_later(delay_ms, self._deliver, finished)
        if append.stream == CONFIGURATION_STREAM:
            simulation.reached(steps.APPENDED, steps.ANY_COMMAND, self._instance)

    def read(self, read: ReadRecords) -> None:
        """Execute a read."""
        self._simulation.heap.call_later(
            self._simulation.log.delay_ms / 2, self._execute_read, read
        )

    def _execute_read(self, read: ReadRecords) -> None:
        simulation = self._simulation
        read_result = simulation.log.read(
            read.stream, read.from_offset, read.max_records, simulation.heap.now_ms
        )
        records_read = RecordsRead(read.stream, False)
        if read_result is not None:
            records_read = RecordsRead(read.stream, True, *read_result)
        simulation.heap.call_later(
            simulation.log.delay_ms / 2, self._deliver, records_read
        )

    def fetch_listing(self, _fetch: FetchListing) -> None:
        """Fetch the list of instances."""
        simulation = self._simulation
        listing = simulation.listing.fetch(simulation.heap.now_ms)
        fetched = ListingFetched(False)
        if listing is not None:
            fetched = ListingFetched(True, listing.live, listing.leaving)
        simulation.heap.call_later(
            simulation.log.settings.latency_ms, self._deliver, fetched
        )
