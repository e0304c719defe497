"""Streams of one origin, as instances tell each other and store them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.streams.stream_origin import KEY_BYTES, StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class StreamRecord(NamedTuple):
    """The origin of a stream, and how long its caller may take it up."""

    key: bytes
    origin: StreamOrigin
    lifetime_ms: int


class OriginGroup(NamedTuple):
    """Records with the same origin and lifetime; ``keys`` are concatenated.

    With ``stored``, they also belong into the store.
    """

    service: str
    version: str
    lifetime_ms: int
    keys: bytes
    stored: bool = False

    def records(self) -> Iterator[StreamRecord]:
        """Return the records of the group."""
        origin = StreamOrigin(self.service, self.version)
        for key in split_keys(self.keys):
            yield StreamRecord(key, origin, self.lifetime_ms)


def split_keys(keys: bytes) -> Iterator[bytes]:
    """Return the keys of a concatenation; an incomplete one at the end is ignored.

    :param keys: concatenated keys.
    """
    for start in range(0, len(keys) - KEY_BYTES + 1, KEY_BYTES):
        yield keys[start : start + KEY_BYTES]


def group_records(
    records: Iterable[StreamRecord], stored_services: frozenset[str] = frozenset()
) -> tuple[OriginGroup, ...]:
    """Return the groups that hold some records.

    :param records: the records.
    :param stored_services: the services whose records also belong into the store.
    """
    keys: dict[tuple[StreamOrigin, int], list[bytes]] = {}
    for record in records:
        keys.setdefault((record.origin, record.lifetime_ms), []).append(record.key)
    return tuple(
        OriginGroup(
            origin.service,
            origin.version,
            lifetime_ms,
            b''.join(group),
            origin.service in stored_services,
        )
        for (origin, lifetime_ms), group in keys.items()
    )
