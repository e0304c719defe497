"""A record as instances send it to one another."""

from __future__ import annotations

from typing import NamedTuple


class PushedRecord(NamedTuple):
    """The payload at an offset of the configuration stream."""

    offset: int
    payload: bytes
