"""A part of an endpoint's response."""

from __future__ import annotations

from typing import NamedTuple


class AttemptChunk(NamedTuple):
    """Tokens ``offset`` to ``offset + token_count`` of a stream.

    For a model's stream ``data`` is the text of these tokens in UTF-8, without
    framing; for a response that is not streamed it is the body as received.
    For a plain service ``offset`` and ``token_count`` count bytes.
    """

    attempt_id: str
    offset: int
    token_count: int
    data: bytes
