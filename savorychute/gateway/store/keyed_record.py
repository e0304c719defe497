"""One record of a keyed topic."""

from __future__ import annotations

from typing import NamedTuple


class KeyedRecord(NamedTuple):
    """A key and its value at one offset; a value of None removes the key."""

    offset: int
    key: str
    value: bytes | None
