"""Pass a part of an answer to a caller."""

from __future__ import annotations

from typing import NamedTuple


class SendChunk(NamedTuple):
    """Send *data*, the answer's tokens from *offset* on."""

    request_id: str
    offset: int
    data: bytes
