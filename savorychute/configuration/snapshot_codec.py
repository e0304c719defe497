"""Encoding of the state of the configuration."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from savorychute.configuration.configuration_state import ConfigurationState
from savorychute.configuration.item_name import parse_item
from savorychute.configuration.snapshot_body import SnapshotBody
from savorychute.configuration.snapshot_item import SnapshotItem
from savorychute.configuration.verdict_memory import VerdictMemory
from savorychute.configuration.verdict_row import row_to_verdict, verdict_to_row
from savorychute.errors import MessageError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.configuration.fold import ConfigurationFold

COMPRESSION_LEVEL = 1
"""Level 6 takes twice as long for an eighth less data, and blocks the event loop."""

MAX_STATE_BYTES = 64 * 1024 * 1024

_BODY_DECODER = msgspec.json.Decoder(SnapshotBody)


def encode_state(fold: ConfigurationFold) -> bytes:
    """Return the fold's state, compressed.

    :param fold: the fold whose state is encoded.
    """
    body = SnapshotBody(
        offset=fold.state.offset,
        digest=fold.state.digest,
        items=list(_list_items(fold.state)),
        verdicts=[verdict_to_row(verdict) for verdict in fold.verdicts.all()],
    )
    return zlib.compress(msgspec.json.encode(body), COMPRESSION_LEVEL)


def decode_state(data: bytes) -> tuple[ConfigurationState, VerdictMemory]:
    """Return the state in *data* and the verdicts remembered with it.

    :param data: as :func:`encode_state` returned it.
    :raises MessageError: if *data* is corrupt.
    """
    try:
        body = _BODY_DECODER.decode(_decompress(data))
        state = _build_state(body)
        verdicts = VerdictMemory(row_to_verdict(row) for row in body['verdicts'])
    except (msgspec.MsgspecError, zlib.error, KeyError, RecursionError) as error:
        raise MessageError(f'the state cannot be decoded: {error}') from error
    if state.digest != body['digest']:
        raise MessageError(f'the state at {state.offset} does not match its digest')
    return state, verdicts


def split_state(data: bytes, part_bytes: int) -> list[bytes]:
    """Split *data* into slices of at most *part_bytes*."""
    return [
        data[start : start + part_bytes] for start in range(0, len(data), part_bytes)
    ]


def _decompress(data: bytes) -> bytes:
    # The limit is needed because a few corrupt or hostile bytes can expand to
    # gigabytes.
    inflater = zlib.decompressobj()
    inflated = inflater.decompress(data, MAX_STATE_BYTES)
    if not inflater.eof:
        raise MessageError('the state is truncated or too large')
    return inflated


def _list_items(state: ConfigurationState) -> Iterator[SnapshotItem]:
    for item in sorted(state.versions):
        encoded = state.encoded(item)
        if encoded is not None:
            yield SnapshotItem(item, state.versions[item], msgspec.Raw(encoded))


def _build_state(body: SnapshotBody) -> ConfigurationState:
    state = ConfigurationState()
    state.offset = body['offset']
    for item, version, document in body['items']:
        name = parse_item(item)
        if name is None:
            raise MessageError(f'the state has an invalid item name {item[:40]!r}')
        state.put(name, version, bytes(document))
        state.document(item)
    return state
