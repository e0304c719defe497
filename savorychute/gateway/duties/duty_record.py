"""Records of the topic of duties."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

import msgspec

from savorychute.gateway.duties.server_fleet import ServerFleet  # noqa: TC001
from savorychute.gateway.duties.usage_report import UsageReport  # noqa: TC001

# Keys of records. Reports reuse a fixed number of keys, because the store keeps the
# newest record of each key forever and would grow otherwise.
CLAIM_KEY = 'claim'
ERA_KEY = 'era'
FLEET_KEY = 'servers'
REPORT_KEY_COUNT = 16


class EraRecord(NamedTuple):
    """An era of the store, and a true time at which it had already started."""

    era: int
    since_ms: int


class SettledRecord(NamedTuple):
    """A final report, and the era of the store in which it was written."""

    era: int
    report: UsageReport


class FleetRecord(NamedTuple):
    """The desired endpoints of each service."""

    fleets: tuple[ServerFleet, ...]


R = TypeVar('R', EraRecord, SettledRecord, FleetRecord)


def report_key(window: int) -> str:
    """Return the key for the report of a window."""
    return f'usage-{window % REPORT_KEY_COUNT}'


def is_report_key(key: str) -> bool:
    """Return whether a key belongs to a report."""
    return key.startswith('usage-')


def encode_record(record: EraRecord | SettledRecord | FleetRecord) -> bytes:
    """Encode a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes, record_type: type[R]) -> R | None:
    """Decode a record; return None if the data is not a record of this type.

    :param data: the encoded record; it may come from any writer.
    :param record_type: the type that belongs to the record's key.
    """
    try:
        return msgspec.json.decode(data, type=record_type)
    except msgspec.MsgspecError:
        return None
