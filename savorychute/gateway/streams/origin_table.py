"""The recorded origins of streams, of this instance and of others."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from savorychute.gateway.streams.stream_origin import OWNER_BYTES, StreamOrigin

# Streams of this instance, and of those that tell it theirs, within a lifetime.
MAX_RECORDS = 65_536
# A record that another instance states may not stay longer.
MAX_LIFETIME_MS = 600_000
# Sources of records other than the name of an instance.
OWN = 'own'
STORE = 'store'


class KnownOrigin(NamedTuple):
    """A recorded origin, and who recorded it when.

    ``origin`` is None if the records differ: a caller has used the id of an attempt for
    two streams, so that nobody knows which of them it takes up.
    """

    origin: StreamOrigin | None
    source: str
    recorded_ms: int
    until_ms: int


class OriginTable:
    """Keeps a bounded number of records, the newest ones of each organisation.

    If the table is full, the organisation with the most records loses its oldest one,
    so that many streams of one organisation do not displace the records of others.

    :param max_records: the maximum number of records.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._by_owner: dict[bytes, OrderedDict[bytes, KnownOrigin]] = {}
        self._count = 0
        # Number of records that were dropped before their time.
        self.dropped = 0

    def __len__(self) -> int:
        return self._count

    def record(
        self,
        key: bytes,
        origin: StreamOrigin,
        source: str,
        lifetime_ms: int,
        now_ms: int,
    ) -> None:
        """Record an origin, or extend the lifetime of its record.

        :param key: key of the stream.
        :param origin: what began the stream.
        :param source: who recorded it.
        :param lifetime_ms: how long the caller may take the stream up.
        :param now_ms: the current time.
        """
        until_ms = now_ms + min(lifetime_ms, MAX_LIFETIME_MS)
        records = self._by_owner.setdefault(key[:OWNER_BYTES], OrderedDict())
        known = records.pop(key, None)
        if known is None:
            self._count += 1
            records[key] = KnownOrigin(origin, source, now_ms, until_ms)
            if self._count > self._max_records:
                self._drop_oldest()
            return
        records[key] = known._replace(
            origin=origin if known.origin == origin else None,
            until_ms=max(known.until_ms, until_ms),
        )

    def find(self, key: bytes, now_ms: int) -> KnownOrigin | None:
        """Return what is recorded for a stream, or None.

        :param key: key of the stream.
        :param now_ms: the current time.
        """
        records = self._by_owner.get(key[:OWNER_BYTES])
        known = records.get(key) if records is not None else None
        return known if known is not None and now_ms < known.until_ms else None

    def expire(self, now_ms: int) -> None:
        """Drop the oldest records whose time has passed.

        :param now_ms: the current time.
        """
        for owner, records in list(self._by_owner.items()):
            while records and next(iter(records.values())).until_ms <= now_ms:
                records.popitem(last=False)
                self._count -= 1
            if not records:
                del self._by_owner[owner]

    def _drop_oldest(self) -> None:
        records = max(self._by_owner.values(), key=len)
        records.popitem(last=False)
        self._count -= 1
        self.dropped += 1
