"""Reads and writes what the store holds of the origins of streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.daemon.shared_call import SharedCall
from savorychute.gateway.store.call_purpose import CallPurpose
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from savorychute.gateway.streams.origin_store import MarkedVersions
from savorychute.gateway.streams.origin_table import STORE
from savorychute.gateway.streams.stored_origins import (
    ERA_KEY,
    decode_era,
    decode_groups,
    decode_marks,
    encode_groups,
    encode_marks,
    make_service_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.record_log import LogRead, RecordLog
    from savorychute.gateway.streams.origin_group import OriginGroup
    from savorychute.gateway.streams.origin_table import OriginTable
    from savorychute.gateway.streams.stream_origin import StreamOrigin
    from savorychute.gateway.telemetry import GatewayTelemetry

MARKS = 'versions'
RECORDS = 'streams'
# A read returns about 1 MB; more than this has expired for the callers.
MAX_READS = 8


class MarkListing(NamedTuple):
    """All marks, the era in which they are complete, and the end of their topic."""

    stamps: dict[StreamOrigin, int]
    complete_era: int
    era: int
    end: int


class StreamStore:
    """The marks of versions, and the log of the origins of streams.

    :param marks: the topic of marks.
    :param log: the log of origins.
    :param clock: the clock.
    :param telemetry: counts the calls and logs failures.
    """

    def __init__(
        self,
        marks: KeyedTopic,
        log: RecordLog,
        clock: Clock,
        telemetry: GatewayTelemetry,
    ) -> None:
        self._marks = marks
        self._log = log
        self._clock = clock
        self._telemetry = telemetry
        self._count_marks = telemetry.calls.counter_for(MARKS)
        self._count_records = telemetry.calls.counter_for(RECORDS)
        self._listing_call = SharedCall(self._list_for_lookups)
        self._reading_call = SharedCall(self._read_for_lookups)
        self._offset = 0
        self._era = 0
        # Where records are added, and what is called with each listing of the marks.
        self.table: OriginTable | None = None
        self.on_listing: Callable[[MarkListing, int], None] | None = None

    # -- for lookups

    def list_marks(self, on_done: Callable[[MarkedVersions | None], None]) -> None:
        """List the versions that may have begun streams; None if the store fails."""
        self._listing_call.join(on_done)

    def read_records(self, on_done: Callable[[bool], None]) -> None:
        """Add the stored records to the table; false if the store fails."""
        self._reading_call.join(on_done)

    async def _list_for_lookups(self) -> MarkedVersions | None:
        try:
            listing = await self.list_all()
        except StoreUnavailableError:
            return None
        is_complete = listing.complete_era >= listing.era
        return MarkedVersions(frozenset(listing.stamps), is_complete)

    async def _read_for_lookups(self) -> bool:
        try:
            for _ in range(MAX_READS):
                if await self._read_once():
                    break
        except StoreUnavailableError as error:
            self._telemetry.store_failed(RECORDS, error)
            return False
        self._telemetry.store_responded(RECORDS)
        return True

    async def _read_once(self) -> bool:
        """Read records; return whether there are no others at present."""
        self._count_records(CallPurpose.READ_FOR_ITSELF)
        read = await self._log.read_from(self._offset)
        if read.era != self._era and self._offset:
            # The offset belongs to a log that the store has lost.
            self._era, self._offset = read.era, 0
            return False
        self._era, self._offset = read.era, read.next_offset
        self._add_records(read)
        return read.next_offset >= read.end

    def _add_records(self, read: LogRead) -> None:
        if self.table is None:
            return
        now_ms = self._clock.now_ms()
        for record in read.records:
            for group in decode_groups(record):
                for key, origin, lifetime_ms in group.records():
                    self.table.record(key, origin, STORE, lifetime_ms, now_ms)

    # -- marks

    async def list_all(self) -> MarkListing:
        """Return all marks, as of a time after the call.

        :raises StoreUnavailableError: if the store does not respond, or holds something
            that cannot be read.
        """
        started_ms = self._clock.now_ms()
        self._count_marks(CallPurpose.LIST)
        try:
            snapshot = await self._marks.list_newest()
            stamps = decode_marks(snapshot.records)
            if stamps is None:
                raise StoreUnavailableError(f'{MARKS}: a mark cannot be read')
        except HistoryLostError as error:
            raise StoreUnavailableError(error.message) from error
        except StoreUnavailableError as error:
            self._telemetry.store_failed(MARKS, error)
            raise
        self._telemetry.store_responded(MARKS)
        listing = MarkListing(
            stamps,
            decode_era(snapshot.records),
            snapshot.era,
            snapshot.next_offset,
        )
        if self.on_listing is not None:
            self.on_listing(listing, started_ms)
        return listing

    async def write_marks(
        self, service: str, versions: Mapping[str, int], expected_end: int
    ) -> None:
        """Write the marks of a service, if no other instance has written meanwhile.

        :param service: name of the service.
        :param versions: the stamp of each version.
        :param expected_end: the end of the topic when it was listed.
        :raises WriteConflictError: if the topic has changed.
        :raises StoreUnavailableError: if the store does not respond.
        """
        self._count_marks(CallPurpose.MARK_VERSIONS)
        value = encode_marks(service, versions) if versions else None
        await self._marks.write(make_service_key(service), value, expected_end)

    async def write_era(self, era: int, expected_end: int) -> None:
        """Write that the marks are complete in an era.

        :param era: the era of the store.
        :param expected_end: the end of the topic when it was listed.
        :raises WriteConflictError: if the topic has changed.
        :raises StoreUnavailableError: if the store does not respond.
        """
        self._count_marks(CallPurpose.MARK_VERSIONS)
        await self._marks.write(ERA_KEY, str(era).encode(), expected_end)

    # -- records

    async def append(self, groups: Sequence[OriginGroup]) -> int:
        """Append origins to the log; return their offset.

        :param groups: the origins.
        :raises StoreUnavailableError: if the store does not respond.
        """
        self._count_records(CallPurpose.RECORD_STREAMS)
        return await self._log.append(encode_groups(groups))

    async def trim(self, before: int) -> None:
        """Delete the origins before an offset.

        :param before: the first offset to keep.
        :raises StoreUnavailableError: if the store does not respond.
        """
        self._count_records(CallPurpose.RECORD_STREAMS)
        await self._log.trim(before)
