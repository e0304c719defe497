"""Reader of an engine's answer that is a single document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.endpoints.chat_documents import ChatCompletion
from savorychute.endpoints.refusals import (
    SERVER_ERROR_STATUS,
    describe_failure,
    describe_fault,
    describe_refusal,
    is_refusal,
)
from savorychute.inputs import AttemptChunk, AttemptEnded, AttemptStarted

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import StartAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.inputs import Input

MAX_ANSWER_BYTES = 4 * 1024 * 1024
NOT_FOUND_STATUS = 404

_completion_decoder = msgspec.json.Decoder(ChatCompletion)


class DocumentReader:
    """Buffers the document until it is complete, up to ``MAX_ANSWER_BYTES``.

    If the document is truncated, the caller has received nothing of it, so an
    idempotent request can be retried at another endpoint.

    :param start: the attempt.
    """

    __slots__ = ('_parts', '_size_bytes', '_start', '_status', 'closed')

    def __init__(self, start: StartAttempt) -> None:
        self._start = start
        self._status = 0
        self._parts: list[bytes] = []
        self._size_bytes = 0
        self.closed = False

    def read_head(self, status: int, headers: dict[str, str]) -> Sequence[Input]:
        """Return the start of the answer, or the failure indicated by the status."""
        attempt_id = self._start.attempt_id
        if is_refusal(status, headers):
            self.closed = True
            return [describe_refusal(attempt_id, status, headers)]
        if status >= SERVER_ERROR_STATUS:
            self.closed = True
            return [describe_fault(attempt_id, f'status {status}')]
        if status == NOT_FOUND_STATUS and self._start.resume_offset >= 0:
            self.closed = True
            return [describe_fault(attempt_id, 'the engine has no such stream')]
        self._status = status
        stream_id = headers.get('x-stream-id', self._start.stream_id)
        content_type = headers.get('content-type', '')
        return [AttemptStarted(attempt_id, status, content_type, stream_id)]

    def read_data(self, data: bytes) -> Sequence[Input]:
        """Buffer a part; return a failure if the document is too large."""
        if self.closed:
            return []
        self._size_bytes += len(data)
        if self._size_bytes > MAX_ANSWER_BYTES:
            self.closed = True
            reason = f'answer larger than {MAX_ANSWER_BYTES} bytes'
            return [describe_fault(self._start.attempt_id, reason)]
        self._parts.append(data)
        return []

    def read_end(self) -> Sequence[Input]:
        """Return the complete document and the end of the attempt."""
        if self.closed:
            return []
        self.closed = True
        attempt_id = self._start.attempt_id
        body = b''.join(self._parts)
        tokens = _count_tokens(body)
        return [
            AttemptChunk(attempt_id, 0, tokens, body),
            AttemptEnded(attempt_id, tokens),
        ]

    def read_failure(self, failure: CallFailure) -> Sequence[Input]:
        """Return the failure, unless the attempt has already ended."""
        if self.closed:
            return []
        self.closed = True
        return [describe_failure(self._start.attempt_id, failure)]


def _count_tokens(body: bytes) -> int:
    try:
        usage = _completion_decoder.decode(body).get('usage')
    except (msgspec.DecodeError, RecursionError):
        return 0
    return usage.get('completion_tokens', 0) if usage else 0
