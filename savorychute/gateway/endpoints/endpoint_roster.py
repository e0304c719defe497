"""The endpoints that may get requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.run_order import EntryVerdict, RunOrder

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Iterator

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Entries that lapsed during an outage of the store are written again within about two
# seconds of its return; the rest is for the read that shows them.
RETURN_MS = 2_500
# Runs whose end is remembered, the newest.  A late entry may name one again for as
# long as the store keeps it, some seconds: with 100 endpoints that each end once in 2 s
# this is more than 10 s of ends.
ENDED_KEPT = 512


class EndpointRoster:
    """Follows the platform's entries, and knows better where it can.

    An endpoint gets nothing new once its entry or one of its answers says that it
    leaves, once the entry is gone or cannot be read, or once another endpoint has
    answered at its address.  A run that starts under a known name has a record of its
    own.  Only entries that vanish around an outage of the store stay in use for a
    while: nobody could renew them, so their absence says little.

    :param on_ended: called with each run that ended and the time.
    :param clock: the time.
    :param leaving: runs that have said themselves that they leave, whatever their
        entries say.
    """

    def __init__(
        self,
        on_ended: Callable[[EndpointRun, int], None],
        clock: Clock,
        leaving: Container[EndpointRun] = frozenset(),
    ) -> None:
        self._on_ended = on_ended
        self._clock = clock
        self._leaving = leaving
        self._records: dict[str, EndpointRecord] = {}
        self._by_service: dict[str, dict[str, EndpointRecord]] = {}
        self._ended: dict[EndpointRun, None] = {}
        # The last report of each run whose entry is gone, the newest.
        self._gone: dict[EndpointRun, int] = {}
        self._order = RunOrder()
        self._doubt_until_ms = 0

    def __iter__(self) -> Iterator[EndpointRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return the record of an endpoint that is listed, or None."""
        return self._records.get(endpoint)

    def sensitive_streams(self) -> int:
        """Return how many streams run here that would be late beside long prompts."""
        return sum(record.sensitive_streams for record in self)

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get new requests.

        :param service: the service's name.
        """
        records = self._by_service.get(service, {}).values()
        return [record for record in records if not self.is_leaving(record.entry)]

    def is_leaving(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint will end.

        :param entry: its entry.
        """
        return entry.draining or entry.run in self._leaving

    def store_failed(self, now_ms: int) -> None:
        """Note that the store did not answer; entries may lapse meanwhile.

        :param now_ms: the time.
        """
        self._doubt_until_ms = now_ms + RETURN_MS

    def apply(self, entry: EndpointEntry, *, convinced: bool = False) -> EntryVerdict:
        """Take in an entry; return what it was taken for.

        :param entry: what the endpoint wrote last.
        :param convinced: whether another instance has found this run to be the living
            one although it seems older.
        """
        if convinced:
            self._order.believe(entry)
        verdict = self._order.judge(entry)
        if verdict is EntryVerdict.OLD_RUN or entry.run in self._ended:
            return EntryVerdict.OLD_RUN
        if entry.sequence <= self._gone.get(entry.run, -1):
            # The store went back to a copy in which the endpoint was still there.
            return EntryVerdict.OLD_RUN
        record = self._records.get(entry.endpoint)
        if record is None:
            self._add(entry)
        elif record.entry.born_ms != entry.born_ms:
            self._drop(record)
            record.run_over()
            self._add(entry)
        else:
            self._renew(record, entry)
        return verdict

    def _add(self, entry: EndpointEntry) -> None:
        record = EndpointRecord(entry)
        self._records[entry.endpoint] = record
        self._by_service.setdefault(entry.service, {})[entry.endpoint] = record

    def _renew(self, record: EndpointRecord, entry: EndpointEntry) -> None:
        record.missing_until_ms = None
        if entry.sequence < record.entry.sequence:
            return
        if entry.service != record.entry.service:
            self._by_service[record.entry.service].pop(entry.endpoint, None)
            self._by_service.setdefault(entry.service, {})[entry.endpoint] = record
        record.entry = entry

    def apply_all(self, entries: Iterable[EndpointEntry], now_ms: int) -> None:
        """Take in the whole list; what it leaves out is missing.

        :param entries: the newest entry of each endpoint.
        :param now_ms: the time.
        """
        listed = {entry.endpoint: entry for entry in entries}
        for entry in listed.values():
            self.apply(entry)
        for endpoint in [each for each in self._records if each not in listed]:
            self.remove(endpoint, now_ms)

    def remove(self, endpoint: str, now_ms: int) -> None:
        """Take in that an entry is gone.

        :param endpoint: the endpoint's name.
        :param now_ms: the time.
        """
        record = self._records.get(endpoint)
        if record is None or record.missing_until_ms is not None:
            return
        if now_ms >= self._doubt_until_ms or self.is_leaving(record.entry):
            self._drop(record)
            return
        record.missing_until_ms = self._doubt_until_ms

    def withhold(self, endpoint: str) -> None:
        """Take in that the newest entry of an endpoint cannot be read.

        It may say anything, so the endpoint gets nothing new until there is one that
        can; unlike an entry that is gone it proves no end.

        :param endpoint: the endpoint's name.
        """
        record = self._records.get(endpoint)
        if record is not None:
            self._forget(record)

    def end(self, run: EndpointRun) -> None:
        """Take in proof that a run of an endpoint is over.

        :param run: the one that another endpoint answered for.
        """
        self._ended[run] = None
        if len(self._ended) > ENDED_KEPT:
            self._ended.pop(next(iter(self._ended)))
        record = self._records.get(run.endpoint)
        if record is not None and record.entry.run == run:
            self._drop(record)

    def began_again(self, run: EndpointRun) -> None:
        """Take in that an endpoint itself tells of a newer run than is listed.

        :param run: the newer run, at the address of the one that is listed.
        """
        record = self._records.get(run.endpoint)
        if record is None or run.born_ms <= record.entry.born_ms:
            return
        # Its count begins anew: whatever it writes first must not look old.
        self.apply(record.entry._replace(born_ms=run.born_ms, sequence=0))

    def expire(self, now_ms: int) -> None:
        """Drop the endpoints that have not come back after an outage.

        :param now_ms: the time.
        """
        for record in list(self._records.values()):
            until_ms = record.missing_until_ms
            if until_ms is None:
                continue
            # While the store stays away nobody can write an entry again.
            until_ms = max(until_ms, self._doubt_until_ms)
            if now_ms >= until_ms:
                self._drop(record)

    def _drop(self, record: EndpointRecord) -> None:
        self._forget(record)
        self._gone[record.entry.run] = record.entry.sequence
        if len(self._gone) > ENDED_KEPT:
            self._gone.pop(next(iter(self._gone)))
        if not self.is_leaving(record.entry):
            self._on_ended(record.entry.run, self._clock.now_ms())

    def _forget(self, record: EndpointRecord) -> None:
        entry = record.entry
        self._records.pop(entry.endpoint, None)
        self._by_service[entry.service].pop(entry.endpoint, None)
