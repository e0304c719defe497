"""The entries of instances in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.json_errors import JSON_ERRORS
from savorychute.member_address import MemberAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.store.keyed_record import KeyedRecord

# No instance can have this name: names start with a letter or a digit.
SECRET_KEY = '@secret'


class InstanceEntry(NamedTuple):
    """The current or last address of an instance.

    ``left`` is set once the instance has left gracefully. ``repeats`` is the largest
    number of retries that it sends to any service within the window of the retry
    bounds; None if unknown.
    """

    address: MemberAddress
    left: bool = False
    repeats: float | None = None


class InstanceListing(NamedTuple):
    """The entries of all instances, including those that have ended."""

    entries: tuple[InstanceEntry, ...]

    @property
    def live(self) -> tuple[MemberAddress, ...]:
        """The addresses of instances that have not left."""
        return tuple(entry.address for entry in self.entries if not entry.left)

    @property
    def names(self) -> frozenset[str]:
        """The names of all instances."""
        return frozenset(entry.address.instance for entry in self.entries)

    def find(self, instance: str) -> InstanceEntry | None:
        """Return the entry of an instance, or None.

        :param instance: the name of the instance.
        """
        for entry in self.entries:
            if entry.address.instance == instance:
                return entry
        return None


def encode_entry(entry: InstanceEntry) -> bytes:
    """Encode an entry as the value of a record.

    :param entry: the entry.
    """
    return msgspec.json.encode(entry)


def decode_listing(
    records: Iterable[KeyedRecord | UnreadableRecord],
) -> InstanceListing:
    """Decode the entries in some records; other records are ignored.

    :param records: records of the topic of instances.
    """
    entries = []
    for record in records:
        if isinstance(record, UnreadableRecord):
            # It was not written by an instance, so there is no address to contact.
            continue
        if record.key == SECRET_KEY or record.value is None:
            continue
        entry = _decode_entry(record.value)
        if entry is not None:
            entries.append(entry)
    return InstanceListing(tuple(entries))


def _decode_entry(value: bytes) -> InstanceEntry | None:
    try:
        return msgspec.json.decode(value, type=InstanceEntry)
    except JSON_ERRORS:
        pass
    try:
        # Earlier versions wrote only the address.
        return InstanceEntry(msgspec.json.decode(value, type=MemberAddress))
    except JSON_ERRORS:
        # An instance of a later version may write an entry that this version cannot
        # decode.
        return None
