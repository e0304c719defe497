"""Encodes and decodes the verdicts in the store."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from savorychute.crashes.verdict import Verdict, VerdictKey
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.json_errors import JSON_ERRORS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from savorychute.gateway.store.keyed_record import KeyedRecord

RECORD_KEY_BYTES = 16


class _StoredVerdict(msgspec.Struct):
    """A verdict, with the time of its next trial by the wall clock."""

    service: str
    traits: tuple[int, ...]
    crashes: int
    certain: bool
    due_wall_ms: int
    sequence: int
    trials: int
    lifted: bool = False


def make_record_key(key: VerdictKey) -> str:
    """Return the key under which a verdict is stored.

    :param key: the service, whose name may have any length, and the traits.
    """
    text = f'{key.service}\n{key.traits}'
    return blake2b(text.encode(), digest_size=RECORD_KEY_BYTES).hexdigest()


def encode_verdict(verdict: Verdict, wall_offset_ms: int) -> bytes:
    """Return the value that stores a verdict.

    :param verdict: the verdict.
    :param wall_offset_ms: the wall clock minus the clock of the verdict.
    """
    return msgspec.json.encode(
        _StoredVerdict(
            verdict.key.service,
            verdict.key.traits,
            verdict.crashes,
            verdict.certain,
            verdict.due_ms + wall_offset_ms,
            verdict.sequence,
            verdict.trials,
            verdict.lifted,
        )
    )


def decode_verdicts(
    records: Iterable[KeyedRecord | UnreadableRecord], wall_offset_ms: int
) -> Iterator[Verdict]:
    """Yield the stored verdicts; what another writer left is passed over.

    :param records: the newest record of each key.
    :param wall_offset_ms: the wall clock minus the clock of this instance.
    """
    for record in records:
        if isinstance(record, UnreadableRecord) or record.value is None:
            continue
        try:
            stored = msgspec.json.decode(record.value, type=_StoredVerdict)
        except JSON_ERRORS:
            continue
        if not stored.traits:
            continue
        yield Verdict(
            VerdictKey(stored.service, tuple(sorted(stored.traits))),
            stored.crashes,
            stored.certain,
            stored.due_wall_ms - wall_offset_ms,
            stored.sequence,
            stored.trials,
            stored.lifted,
        )
