"""A key shared by instances."""

from __future__ import annotations

from typing import NamedTuple

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 64
MAX_KEY_ID = 0xFFFF


class PeerKey(NamedTuple):
    """A numbered secret of 16 to 64 bytes; only the number is transmitted."""

    key_id: int
    secret: bytes
