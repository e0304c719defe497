"""Encoding of rows of observations in messages between instances."""

from __future__ import annotations

import struct
from math import log2
from typing import TYPE_CHECKING

from savorychute.gateway.engines.cell_sums import MIN_RATE_LOG, CellSums
from savorychute.gateway.engines.speed_evidence import SpeedRow

if TYPE_CHECKING:
    from collections.abc import Iterator

# Run, reporting instance and age in ms.
ROW_HEADER = struct.Struct('>IHH')
# Number of the cell, weight and rate of its lasting sums, and its recent ones by them.
CELL = struct.Struct('>BBBB')
LAST_CELL = 0x80
WEIGHT_UNITS = 7.0
# Steps of 4 %.
RATE_UNITS = 16.0
# A recent rate differs from the lasting one by -2 to 2 octaves, in steps of 9 %.
RECENT_RATE_UNITS = 8.0
RECENT_RATE_BITS = 5
RECENT_RATE_OFFSET = 16
RECENT_RATE_MAX = 31
RECENT_WEIGHT_UNITS = 7.0
MAX_BYTE = 255
MAX_AGE_MS = 65_535


class SpeedCodecError(ValueError):
    """Bytes that hold no rows."""


def encode_row(key: int, reporter: int, row: SpeedRow, now_ms: int) -> bytes:
    """Return a row as bytes, none if it is too old.

    :param key: the run.
    :param reporter: the instance that made the row.
    :param row: its observations.
    :param now_ms: the current time.
    """
    age_ms = max(0, now_ms - row.at_ms)
    if age_ms > MAX_AGE_MS:
        return b''
    data = ROW_HEADER.pack(key, reporter, age_ms)
    last = len(row.cells) - 1
    for index, (cell, sums) in enumerate(row.cells.items()):
        data += CELL.pack(
            cell | LAST_CELL if index == last else cell,
            max(1, min(MAX_BYTE, round(sums.lasting_weight * WEIGHT_UNITS))),
            _clamp((log2(sums.lasting_rate) - MIN_RATE_LOG) * RATE_UNITS, MAX_BYTE),
            _encode_recent(sums),
        )
    return data


def _clamp(value: float, maximum: int) -> int:
    return max(0, min(maximum, round(value)))


def _encode_recent(sums: CellSums) -> int:
    share = sums.recent_weight / sums.lasting_weight
    weight = _clamp(share * RECENT_WEIGHT_UNITS, round(RECENT_WEIGHT_UNITS))
    octaves = log2(sums.recent_rate / sums.lasting_rate)
    rate = _clamp(octaves * RECENT_RATE_UNITS + RECENT_RATE_OFFSET, RECENT_RATE_MAX)
    return weight << RECENT_RATE_BITS | rate


def _decode_sums(weight: int, rate: int, recent: int) -> CellSums:
    octaves = rate / RATE_UNITS + MIN_RATE_LOG
    recent_rate = (recent & RECENT_RATE_MAX) - RECENT_RATE_OFFSET
    lasting_weight = weight / WEIGHT_UNITS
    return CellSums(
        lasting_weight,
        2.0**octaves,
        lasting_weight * (recent >> RECENT_RATE_BITS) / RECENT_WEIGHT_UNITS,
        2.0 ** (octaves + recent_rate / RECENT_RATE_UNITS),
    )


def decode_rows(
    data: bytes, sender: int, now_ms: int
) -> Iterator[tuple[int, int, SpeedRow]]:
    """Return the rows in a message, each with its run and its reporting instance.

    :param data: concatenated rows.
    :param sender: the instance that sent them.
    :param now_ms: the current time.
    :raises SpeedCodecError: if the bytes hold no rows.
    """
    position = 0
    try:
        while position < len(data):
            key, reporter, age_ms = ROW_HEADER.unpack_from(data, position)
            position += ROW_HEADER.size
            cells: dict[int, CellSums] = {}
            cell = 0
            while not cell & LAST_CELL:
                cell, weight, rate, recent = CELL.unpack_from(data, position)
                position += CELL.size
                cells[cell & ~LAST_CELL] = _decode_sums(weight, rate, recent)
            yield key, reporter, SpeedRow(cells, now_ms - age_ms, sender)
    except struct.error as error:
        raise SpeedCodecError('the bytes end within a row') from error
