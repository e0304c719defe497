"""A record as instances pass it on."""

from __future__ import annotations

from typing import NamedTuple


class PushedRecord(NamedTuple):
    """The payload at an offset of the configuration stream."""

    offset: int
    payload: bytes
