"""Encodes tokens of a streamed response as server-sent events."""

from __future__ import annotations

import msgspec

EVENT_STREAM_TYPE = 'text/event-stream'
END_EVENT = b'data: [DONE]\n\n'
TOKEN_EVENT = (
    b'id: %d\n'
    b'data: {"choices":[{"index":0,"delta":{"content":%b}}],"token_count":%d}\n\n'
)

_encoder = msgspec.json.Encoder()


def encode_tokens(offset: int, token_count: int, text: bytes) -> bytes:
    """Return the event for a group of tokens.

    :param offset: the position of the first token in the complete response.
    :param token_count: the number of tokens.
    :param text: the text of the tokens in UTF-8.
    """
    content = _encoder.encode(text.decode('utf-8', 'replace'))
    return TOKEN_EVENT % (offset, content, token_count)
