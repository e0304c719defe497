"""Reading a streamed answer of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.endpoints.chat_documents import ChatChunk
from savorychute.endpoints.refusals import (
    describe_failure,
    describe_fault,
    describe_refusal,
    is_refusal,
)
from savorychute.endpoints.whole_reader import WholeReader
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
    """Passes each event's text on with the offset that the engine gave it.

    The whole answer is marked by ``[DONE]`` alone.  A connection that closes
    in order before it, as after a crash of a process in front of the engine,
    is a failure.

    :param start: the attempt.
    """

    __slots__ = ('_events', '_start', '_whole', 'closed', 'next_offset')

    def __init__(self, start: StartAttempt) -> None:
        self._start = start
        self._events = SseReader()
        self._whole: WholeReader | None = None
        self.next_offset = max(0, start.resume_offset)
        self.closed = False

    def read_head(self, status: int, headers: dict[str, str]) -> Sequence[Input]:
        """Return the start, or leave an error to the reader of documents."""
        if is_refusal(status, headers):
            self.closed = True
            return [describe_refusal(self._start.attempt_id, status, headers)]
        content_type = headers.get('content-type', '')
        if status != OK_STATUS or not content_type.startswith(EVENT_STREAM_TYPE):
            self._whole = WholeReader(self._start)
            return self._follow_whole(self._whole.read_head(status, headers))
        stream_id = headers.get('x-stream-id', self._start.stream_id)
        return [AttemptStarted(self._start.attempt_id, status, content_type, stream_id)]

    def read_data(self, data: bytes) -> Sequence[Input]:
        """Return the chunks that *data* completes."""
        if self.closed:
            return []
        if self._whole is not None:
            return self._follow_whole(self._whole.read_data(data))
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
        """Return a failure unless the answer was whole."""
        if self.closed:
            return []
        if self._whole is not None:
            return self._follow_whole(self._whole.read_end())
        self.closed = True
        return [describe_fault(self._start.attempt_id, 'ended without [DONE]')]

    def read_failure(self, failure: CallFailure) -> Sequence[Input]:
        """Return the failure, unless the attempt has ended already."""
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

    def _follow_whole(self, inputs: Sequence[Input]) -> Sequence[Input]:
        self.closed = self._whole is not None and self._whole.closed
        return inputs


def _read_text(chunk: ChatChunk) -> bytes:
    return b''.join(
        [
            (choice.get('delta', {}).get('content') or '').encode()
            for choice in chunk.get('choices', ())
        ]
    )
