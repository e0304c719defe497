"""Send a part of a response to a caller."""

from __future__ import annotations

from typing import NamedTuple


class SendChunk(NamedTuple):
    """Send *data*, the tokens of the response from *offset* on.

    ``token_count`` is the number of tokens.  The host adds framing to the text
    of a model's stream and sends any other data unchanged.
    """

    request_id: str
    offset: int
    data: bytes
    token_count: int = 0
