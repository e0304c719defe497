"""Records of the topic of duties."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

import msgspec

from savorychute.gateway.duties.server_fleet import ServerFleet  # noqa: TC001
from savorychute.gateway.duties.usage_report import UsageReport  # noqa: TC001

# Keys.  Reports take turns in a few keys, so that the store, which keeps the newest record
# of each key for good, does not grow.
CLAIM_KEY = 'claim'
ERA_KEY = 'era'
FLEET_KEY = 'servers'
REPORT_KEYS = 16


class EraRecord(NamedTuple):
    """An era of the store, and a moment of true time by which it had begun."""

    era: int
    since_ms: int


class SettledRecord(NamedTuple):
    """A report that is never changed again, and the era of the store for its writer."""

    era: int
    report: UsageReport


class FleetRecord(NamedTuple):
    """The endpoints that are wanted of each service."""

    fleets: tuple[ServerFleet, ...]


R = TypeVar('R', EraRecord, SettledRecord, FleetRecord)


def report_key(window: int) -> str:
    """Return the key of a window's report."""
    return f'usage-{window % REPORT_KEYS}'


def is_report_key(key: str) -> bool:
    """Return whether a key is that of a report."""
    return key.startswith('usage-')


def encode_record(record: EraRecord | SettledRecord | FleetRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes, kind: type[R]) -> R | None:
    """Return the record in some bytes, or None if they hold none of its kind.

    :param data: anybody may have written them.
    :param kind: which one the key says it is.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None
