"""Reader of an engine's streamed answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.endpoints.chat_documents import ChatChunk
from savorychute.endpoints.document_reader import DocumentReader
from savorychute.endpoints.refusals import (
    describe_failure,
    describe_fault,
    describe_refusal,
    is_refusal,
)
from savorychute.http.sse_reader import EventTooLargeError, SseReader
from savorychute.inputs import AttemptChunk, AttemptEnded, AttemptStarted

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import StartAttempt
    from savorychute.http.call_failure import CallFailure
    from savorychute.http.sse_reader import SseEvent
    from savorychute.inputs import Input

END_DATA = b'[DONE]'
OK_STATUS = 200
EVENT_STREAM_TYPE = 'text/event-stream'

_chunk_decoder = msgspec.json.Decoder(ChatChunk)


class StreamReader:
    """Passes on each event's text with the offset that the engine assigned.

    Only ``[DONE]`` marks a complete answer.  If the connection is closed cleanly
    before it, as a proxy may do after the engine has crashed, the attempt has
    failed.

    :param start: the attempt.
    """

    __slots__ = ('_document_reader', '_events', '_start', 'closed', 'next_offset')

    def __init__(self, start: StartAttempt) -> None:
        self._start = start
        self._events = SseReader()
        self._document_reader: DocumentReader | None = None
        self.next_offset = max(0, start.resume_offset)
        self.closed = False

    def read_head(self, status: int, headers: dict[str, str]) -> Sequence[Input]:
        """Return the start of the answer, or let a document reader handle an error."""
        if is_refusal(status, headers):
            self.closed = True
            return [describe_refusal(self._start.attempt_id, status, headers)]
        content_type = headers.get('content-type', '')
        if status != OK_STATUS or not content_type.startswith(EVENT_STREAM_TYPE):
            self._document_reader = DocumentReader(self._start)
            return self._update_closed(self._document_reader.read_head(status, headers))
        stream_id = headers.get('x-stream-id', self._start.stream_id)
        return [AttemptStarted(self._start.attempt_id, status, content_type, stream_id)]

    def read_data(self, data: bytes) -> Sequence[Input]:
        """Return the chunks completed by *data*."""
        if self.closed:
            return []
        if self._document_reader is not None:
            return self._update_closed(self._document_reader.read_data(data))
        inputs: list[Input] = []
        try:
            for event in self._events.feed(data):
                inputs.append(self._read_event(event))
                if self.closed:
                    break
        except (EventTooLargeError, msgspec.DecodeError, ValueError) as error:
            self.closed = True
            inputs.append(describe_fault(self._start.attempt_id, str(error)))
        return inputs

    def read_end(self) -> Sequence[Input]:
        """Return a failure, unless the answer is complete."""
        if self.closed:
            return []
        if self._document_reader is not None:
            return self._update_closed(self._document_reader.read_end())
        self.closed = True
        return [describe_fault(self._start.attempt_id, 'ended without [DONE]')]

    def read_failure(self, failure: CallFailure) -> Sequence[Input]:
        """Return the failure, unless the attempt has already ended."""
        if self.closed:
            return []
        self.closed = True
        return [describe_failure(self._start.attempt_id, failure)]

    def _read_event(self, event: SseEvent) -> Input:
        attempt_id = self._start.attempt_id
        if event.data == END_DATA:
            self.closed = True
            return AttemptEnded(attempt_id, self.next_offset)
        if event.event == 'error':
            self.closed = True
            return describe_fault(attempt_id, 'the engine sent an error event')
        chunk = _chunk_decoder.decode(event.data)
        count = chunk.get('token_count', 1)
        offset = int(event.event_id) if event.event_id else self.next_offset
        self.next_offset = offset + count
        return AttemptChunk(attempt_id, offset, count, _read_text(chunk))

    def _update_closed(self, inputs: Sequence[Input]) -> Sequence[Input]:
        self.closed = self._document_reader is not None and self._document_reader.closed
        return inputs


def _read_text(chunk: ChatChunk) -> bytes:
    return b''.join(
        [
            (choice.get('delta', {}).get('content') or '').encode()
            for choice in chunk.get('choices', ())
        ]
    )
