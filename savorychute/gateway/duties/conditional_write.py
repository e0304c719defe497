"""A record that is written only if the topic has not changed meanwhile."""

from __future__ import annotations

from typing import NamedTuple


class ConditionalWrite(NamedTuple):
    """A record to write only if the topic ends where this instance last read it."""

    key: str
    value: bytes
    expected_end: int
    append_id: str = ''
