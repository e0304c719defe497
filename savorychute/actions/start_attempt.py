"""Send a request to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Open a connection to an endpoint and send it a request.

    The host delivers ``AttemptSent`` before the first byte is sent, then
    ``AttemptStarted``, ``AttemptChunk`` and ``AttemptEnded`` or
    ``AttemptFailed``.  With a ``resume_offset`` of zero or more the stream
    ``stream_id`` is resumed at that token and not generated again; otherwise
    the offset is -1.  To continue a response on another engine the body
    contains ``continue_from``, an object with ``offset`` and ``text``: the
    engine prefills that text after the prompt and its first chunk has that
    offset.  With ``only_if_interrupted`` the engine refuses to resume a stream that
    was paused.  Chunks of a model's stream contain plain UTF-8 text, no framing.
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
    only_if_interrupted: bool = False
