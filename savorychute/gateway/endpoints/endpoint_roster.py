"""Roster of the endpoints that may get requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.run_order import EntryVerdict, RunOrder
from savorychute.gateway.endpoints.version_counts import VersionCounts

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Iterator

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.http.client_pool import ServerAddress

# Entries that expired during an outage of the store are written again within about two
# seconds of its recovery; the rest is the time until they are read.
STORE_RECOVERY_MS = 2_500
# Number of ended runs that are remembered, the newest.  A late entry may name such a
# run for as long as the store retains it, some seconds: with 100 endpoints that each
# end once in 2 s this covers more than 10 s.
MAX_ENDED_RUNS = 512
# Number of records of unlisted endpoints that are kept, the newest.
MAX_UNLISTED = 512


class EndpointRoster:
    """Follows the platform's entries, and overrides them with newer information.

    An endpoint gets no new requests once its entry or one of its responses states that
    it is leaving, once the entry is removed or unreadable, or once another endpoint has
    responded at its address.  A new run under a known name gets a record of its own.
    Only entries that disappear around an outage of the store stay in use for a while:
    they could not be renewed, so their absence proves little.

    :param on_ended: called with each run that ended, and the time.
    :param clock: the clock.
    :param leaving: runs that stated that they are leaving, regardless of their entries.
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
        # Records of endpoints that are not listed any more, the newest ones: requests
        # may still be in progress there, and the same run may be listed again.
        self._unlisted: dict[str, EndpointRecord] = {}
        # Called with the last entry of each run that is not used any more.
        self.on_run_ended: Callable[[EndpointEntry], None] | None = None
        self._versions = VersionCounts()
        self._ended: dict[EndpointRun, None] = {}
        # The last sequence number of each run whose entry was removed, the newest runs.
        self._removed: dict[EndpointRun, int] = {}
        self._order = RunOrder()
        self._recovery_until_ms = 0
        # Called with each run whose entry states that it is draining.
        self.on_draining: Callable[[EndpointRun], None] | None = None

    def __iter__(self) -> Iterator[EndpointRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return the record of a listed endpoint, or None."""
        return self._records.get(endpoint)

    def sensitive_streams(self) -> int:
        """Return the number of this instance's running latency-sensitive streams."""
        return sum(record.sensitive_streams for record in self)

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get new requests.

        :param service: name of the service.
        """
        records = self._by_service.get(service, {}).values()
        return [record for record in records if not self.is_leaving(record.entry)]

    def list_runs(self, service: str) -> list[EndpointRun]:
        """Return the runs of a service's endpoints that may get new requests.

        :param service: name of the service.
        """
        return [record.entry.run for record in self.usable(service)]

    def versions(self, service: str) -> tuple[str | None, ...]:
        """Return the software versions of a service's endpoints, also of leaving ones.

        :param service: name of the service.
        """
        return self._versions.versions(service)

    def accepts_requests_at(self, address: ServerAddress) -> bool:
        """Return whether an endpoint that may get new requests has an address.

        :param address: the address.
        """
        return any(
            record.entry.address == address and not self.is_leaving(record.entry)
            for record in self
        )

    def notify_path_lost(self, address: ServerAddress) -> None:
        """Notify the attempts at an endpoint that its direct connections hang.

        :param address: the address of the endpoint.
        """
        for record in self._with_attempts():
            if record.entry.address == address:
                record.notify_path_lost()

    def notify_verdict(self) -> None:
        """Notify the attempts at all endpoints that a verdict on requests has changed."""
        for record in self._with_attempts():
            record.notify_verdict()

    def _with_attempts(self) -> tuple[EndpointRecord, ...]:
        """Return the records of all endpoints at which requests may be in progress."""
        return (*self, *self._unlisted.values())

    def is_leaving(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is draining or leaving.

        :param entry: its entry.
        """
        return entry.draining or entry.run in self._leaving

    def store_failed(self, now_ms: int) -> None:
        """Record that the store did not respond; entries may expire meanwhile.

        :param now_ms: the current time.
        """
        self._recovery_until_ms = now_ms + STORE_RECOVERY_MS

    def apply(self, entry: EndpointEntry, *, convinced: bool = False) -> EntryVerdict:
        """Apply an entry; return its classification.

        :param entry: the entry that the endpoint wrote last.
        :param convinced: whether another instance has found this run to be the current
            one although it seems older.
        """
        if convinced:
            self._order.accept(entry)
        verdict = self._order.classify(entry)
        if verdict is EntryVerdict.OLD_RUN or entry.run in self._ended:
            return EntryVerdict.OLD_RUN
        if entry.sequence <= self._removed.get(entry.run, -1):
            # The store was restored from a copy that still contains the endpoint.
            return EntryVerdict.OLD_RUN
        listed = self._records.get(entry.endpoint)
        record = listed or self._unlisted.get(entry.endpoint)
        if record is None:
            self._add(EndpointRecord(entry))
        elif _is_other_run(record.entry, entry):
            self._replace(record, entry)
        elif entry.sequence < record.entry.sequence:
            # Its endpoint is listed, although by an older copy of the store.
            record.missing_until_ms = None
            return EntryVerdict.OUTDATED
        elif listed is not None:
            self._update(record, entry)
        else:
            self._list_again(record, entry)
        return verdict

    def _replace(self, record: EndpointRecord, entry: EndpointEntry) -> None:
        """Replace a run by another one, which has nothing of its state."""
        if record.entry.endpoint in self._records:
            self._drop(record)
        elif record.entry.run not in self._removed:
            self._record_end_of_run(record)
        self._unlisted.pop(entry.endpoint, None)
        record.end_run()
        self._add(EndpointRecord(entry))

    def _list_again(self, record: EndpointRecord, entry: EndpointEntry) -> None:
        """List a run whose entry was removed or unreadable for a while.

        Without a start time it may be another run, so an unknown version stays unknown.
        """
        record.missing_until_ms = None
        record.entry = entry
        self._add(record)

    def _add(self, record: EndpointRecord) -> None:
        entry = record.entry
        self._unlisted.pop(entry.endpoint, None)
        self._records[entry.endpoint] = record
        self._by_service.setdefault(entry.service, {})[entry.endpoint] = record
        self._versions.add(entry)

    def _update(self, record: EndpointRecord, entry: EndpointEntry) -> None:
        record.missing_until_ms = None
        entry = _complete(entry, record.entry)
        if entry.service != record.entry.service:
            self._by_service[record.entry.service].pop(entry.endpoint, None)
            self._by_service.setdefault(entry.service, {})[entry.endpoint] = record
        self._versions.remove(record.entry)
        self._versions.add(entry)
        record.entry = entry
        if entry.draining and self.on_draining is not None:
            self.on_draining(entry.run)

    def apply_all(self, entries: Iterable[EndpointEntry], now_ms: int) -> None:
        """Apply the complete list; endpoints that it omits are missing.

        :param entries: the newest entry of each endpoint.
        :param now_ms: the current time.
        """
        listed = {entry.endpoint: entry for entry in entries}
        for entry in listed.values():
            self.apply(entry)
        for endpoint in [each for each in self._records if each not in listed]:
            self.remove(endpoint, now_ms)

    def remove(self, endpoint: str, now_ms: int) -> None:
        """Handle the removal of an entry.

        :param endpoint: name of the endpoint.
        :param now_ms: the current time.
        """
        record = self._records.get(endpoint)
        if record is None or record.missing_until_ms is not None:
            return
        if now_ms >= self._recovery_until_ms or self.is_leaving(record.entry):
            self._drop(record)
            return
        record.missing_until_ms = self._recovery_until_ms

    def exclude(self, endpoint: str) -> None:
        """Exclude an endpoint whose newest entry is unreadable.

        The entry may contain anything, also that the endpoint leaves, so the endpoint
        gets no new requests until there is a readable one.  Unlike a removed entry, it
        does not prove the end of the run: requests in progress go on, and what is known
        of the run holds once it is listed again.

        :param endpoint: name of the endpoint.
        """
        record = self._records.get(endpoint)
        if record is not None:
            self._remove_record(record)

    def record_end(self, run: EndpointRun) -> None:
        """Record proof that a run of an endpoint has ended.

        :param run: the run at whose address another endpoint responded.
        """
        self._ended[run] = None
        if len(self._ended) > MAX_ENDED_RUNS:
            self._ended.pop(next(iter(self._ended)))
        record = self._records.get(run.endpoint)
        if record is not None and record.entry.run == run:
            self._drop(record)

    def apply_restart(self, run: EndpointRun) -> None:
        """Apply a newer run than the listed one that the endpoint itself reported.

        :param run: the newer run, at the address of the listed one.
        """
        record = self._records.get(run.endpoint)
        if record is None or run.born_ms <= record.entry.born_ms:
            return
        # A new run restarts its sequence, so its first entry must not seem old.  Its
        # software may be another one, and it does not leave because its predecessor did.
        self.apply(
            record.entry._replace(
                born_ms=run.born_ms, sequence=0, draining=False, software_version=None
            )
        )

    def expire(self, now_ms: int) -> None:
        """Drop the endpoints that have not returned after an outage.

        :param now_ms: the current time.
        """
        for record in list(self._records.values()):
            until_ms = record.missing_until_ms
            if until_ms is None:
                continue
            # No entry can be written while the store is unavailable.
            until_ms = max(until_ms, self._recovery_until_ms)
            if now_ms >= until_ms:
                self._drop(record)

    def _drop(self, record: EndpointRecord) -> None:
        self._remove_record(record)
        self._record_end_of_run(record)

    def _record_end_of_run(self, record: EndpointRecord) -> None:
        self._removed[record.entry.run] = record.entry.sequence
        if len(self._removed) > MAX_ENDED_RUNS:
            self._removed.pop(next(iter(self._removed)))
        if not self.is_leaving(record.entry):
            self._on_ended(record.entry.run, self._clock.now_ms())
        if self.on_run_ended is not None:
            self.on_run_ended(record.entry)

    def _remove_record(self, record: EndpointRecord) -> None:
        entry = record.entry
        self._records.pop(entry.endpoint, None)
        self._by_service[entry.service].pop(entry.endpoint, None)
        self._versions.remove(entry)
        self._unlisted.pop(entry.endpoint, None)
        self._unlisted[entry.endpoint] = record
        if len(self._unlisted) > MAX_UNLISTED:
            self._unlisted.pop(next(iter(self._unlisted)))


def _complete(entry: EndpointEntry, known: EndpointEntry) -> EndpointEntry:
    """Return an entry with the known version if an earlier release told it without."""
    if entry.software_version is not None:
        return entry
    return entry._replace(software_version=known.software_version)


def _is_other_run(known: EndpointEntry, entry: EndpointEntry) -> bool:
    """Return whether an entry belongs to another run than the known one."""
    if known.born_ms != entry.born_ms:
        return True
    versions = {known.software_version, entry.software_version}
    is_newer = entry.sequence >= known.sequence
    return is_newer and None not in versions and len(versions) > 1
