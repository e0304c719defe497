"""A record that is written only if nobody has written meanwhile."""

from __future__ import annotations

from typing import NamedTuple


class ConditionalWrite(NamedTuple):
    """A record to be written if the topic still ends where this instance has read it."""

    key: str
    value: bytes
    expected_end: int
    append_id: str = ''
