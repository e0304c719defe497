"""Pass a part of an answer to a caller."""

from __future__ import annotations

from typing import NamedTuple


class SendChunk(NamedTuple):
    """Send *data*, the answer's tokens from *offset* on.

    ``token_count`` is how many there are.  The host frames the text of a
    model's stream; any other data goes out as it is.
    """

    request_id: str
    offset: int
    data: bytes
    token_count: int = 0
