"""The endpoints that may get requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry

# Entries that lapsed during an outage of the store are written again within about two
# seconds of its return; the rest is for the read that shows them.
RETURN_MS = 2_500
# Endpoints whose end is remembered, the newest.  A late entry may name one again for as
# long as the store keeps it, some seconds: with 100 endpoints that each end once in 2 s
# this is more than 10 s of ends.
ENDED_KEPT = 512


class EndpointRoster:
    """Follows the platform's entries, and knows better where it can.

    An endpoint gets nothing new once its entry says that it drains, once the entry is
    gone, or once another endpoint has answered at its address.  Only entries that
    vanish around an outage of the store stay in use for a while: nobody could renew
    them, so their absence says little.

    :param on_ended: called with the name of each endpoint that ended and its time.
    :param clock: the time.
    """

    def __init__(self, on_ended: Callable[[str, int], None], clock: Clock) -> None:
        self._on_ended = on_ended
        self._clock = clock
        self._records: dict[str, EndpointRecord] = {}
        self._by_service: dict[str, dict[str, EndpointRecord]] = {}
        self._ended: dict[str, None] = {}
        self._doubt_until_ms = 0

    def __iter__(self) -> Iterator[EndpointRecord]:
        return iter(self._records.values())

    def __len__(self) -> int:
        return len(self._records)

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return the record of an endpoint that is listed, or None."""
        return self._records.get(endpoint)

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get new requests.

        :param service: the service's name.
        """
        records = self._by_service.get(service, {}).values()
        return [record for record in records if not record.entry.draining]

    def store_failed(self, now_ms: int) -> None:
        """Note that the store did not answer; entries may lapse meanwhile.

        :param now_ms: the time.
        """
        self._doubt_until_ms = now_ms + RETURN_MS

    def apply(self, entry: EndpointEntry) -> None:
        """Take in an entry.

        :param entry: what the endpoint wrote last.
        """
        if entry.endpoint in self._ended:
            return
        record = self._records.get(entry.endpoint)
        if record is None:
            record = EndpointRecord(entry)
            self._records[entry.endpoint] = record
            self._by_service.setdefault(entry.service, {})[entry.endpoint] = record
            return
        record.missing_until_ms = None
        if entry.sequence >= record.entry.sequence:
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
        if now_ms >= self._doubt_until_ms or record.entry.draining:
            self._drop(record)
            return
        record.missing_until_ms = self._doubt_until_ms

    def end(self, endpoint: str) -> None:
        """Take in proof that this run of an endpoint is over.

        :param endpoint: the name that another endpoint answered for.
        """
        self._ended[endpoint] = None
        if len(self._ended) > ENDED_KEPT:
            self._ended.pop(next(iter(self._ended)))
        record = self._records.get(endpoint)
        if record is not None:
            self._drop(record)

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
        entry = record.entry
        self._records.pop(entry.endpoint, None)
        self._by_service[entry.service].pop(entry.endpoint, None)
        if not entry.draining:
            self._on_ended(entry.endpoint, self._clock.now_ms())
