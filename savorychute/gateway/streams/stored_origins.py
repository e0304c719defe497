"""Encodes and decodes what the store holds of the origins of streams."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.gateway.streams.origin_group import OriginGroup
from savorychute.gateway.streams.stream_origin import StreamOrigin
from savorychute.json_errors import JSON_ERRORS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from savorychute.gateway.store.keyed_record import KeyedRecord

# The key of the newest era in which the marks are complete; services have other keys.
ERA_KEY = '@era'
SERVICE_KEY_BYTES = 16


class _MarkedService(msgspec.Struct):
    """The marked versions of a service, with their stamps."""

    service: str
    versions: dict[str, int]


def make_service_key(service: str) -> str:
    """Return the key under which the marks of a service are stored.

    :param service: name of the service, of any length.
    """
    return blake2b(service.encode(), digest_size=SERVICE_KEY_BYTES).hexdigest()


def encode_marks(service: str, versions: Mapping[str, int]) -> bytes:
    """Return the value that marks the versions of a service.

    :param service: name of the service.
    :param versions: the stamp of each version.
    """
    return msgspec.json.encode(_MarkedService(service, dict(versions)))


def decode_marks(
    records: Iterable[KeyedRecord | UnreadableRecord],
) -> dict[StreamOrigin, int] | None:
    """Return the stamps of all marked versions; None if a record cannot be read.

    An unreadable record may hold a version that has begun streams, so the others prove
    nothing.

    :param records: the newest record of each key.
    """
    stamps: dict[StreamOrigin, int] = {}
    for record in records:
        if isinstance(record, UnreadableRecord):
            return None
        if record.key == ERA_KEY or record.value is None:
            continue
        try:
            marked = msgspec.json.decode(record.value, type=_MarkedService)
        except JSON_ERRORS:
            return None
        for version, stamp in marked.versions.items():
            stamps[StreamOrigin(marked.service, version)] = stamp
    return stamps


def decode_era(records: Iterable[KeyedRecord | UnreadableRecord]) -> int:
    """Return the newest era in which the marks are complete; 0 if none is stored.

    :param records: the newest record of each key.
    """
    for record in records:
        if isinstance(record, UnreadableRecord) or record.key != ERA_KEY:
            continue
        if record.value is not None and record.value.isdigit():
            return int(record.value)
    return 0


def encode_groups(groups: Sequence[OriginGroup]) -> bytes:
    """Return the log record that holds some origins.

    :param groups: the origins.
    """
    return msgspec.json.encode(groups)


def decode_groups(record: bytes) -> list[OriginGroup]:
    """Return the origins in a log record; none if another writer wrote it.

    :param record: the record.
    """
    try:
        return msgspec.json.decode(record, type=list[OriginGroup])
    except JSON_ERRORS:
        return []
