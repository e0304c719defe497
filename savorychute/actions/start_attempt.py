"""Send a request to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Open a connection to an endpoint and send it a request.

    The host answers with ``AttemptSent`` before the first byte leaves, then
    with ``AttemptStarted``, ``AttemptChunk`` and ``AttemptEnded`` or
    ``AttemptFailed``.  With ``resume_offset`` of zero or more the stream
    called ``stream_id`` is resumed at that token and nothing is run anew;
    otherwise it is -1.  To continue an answer on another engine the body
    carries ``continue_from``, an object with ``offset`` and ``text``: the
    engine prefills that text after the prompt and its first chunk has that
    offset.  Chunks of a model's stream carry plain UTF-8 text, no framing.
    """

    attempt_id: str
    request_id: str
    endpoint: str
    dialect: str
    host: str
    port: int
    method: str
    path: str
    body: bytes
    model: str
    priority: int
    stream: bool
    stream_id: str
    resume_offset: int
    timeout_ms: int
