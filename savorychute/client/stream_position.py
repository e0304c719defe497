"""The read position in a streamed response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.client.call_error import CallError
from savorychute.client.refusal import read_error_event
from savorychute.client.response_stream import ResponseBrokenError
from savorychute.client.tokens import Tokens
from savorychute.endpoints.chat_documents import ChatChunk
from savorychute.errors import RequestError
from savorychute.http.call_failure import CallFailure
from savorychute.http.sse_reader import SseReader
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import decode_handle
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorychute.client.response_stream import ResponseStream
    from savorychute.http.sse_reader import SseEvent
    from savorychute.requests.continuation_handle import ContinuationHandle

END_DATA = b'[DONE]'

_decoder = msgspec.json.Decoder(ChatChunk)


class StreamPosition:
    """Joins the parts of one streamed response by their offsets."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.text = ''
        self._handle: ContinuationHandle | None = None

    @property
    def resumable(self) -> bool:
        """Whether there is a handle with which to resume the stream."""
        return self._handle is not None

    def set_handle(self, response: ResponseStream) -> None:
        """Store the continuation handle of a response.

        :param response: a response whose head has arrived.
        """
        text = response.headers.get('x-continuation-handle', '')
        if not text:
            return
        try:
            self._handle = decode_handle(text)
        except RequestError:
            self._handle = None

    def encode_handle(self) -> str:
        """Return the handle for the first missing token, or an empty string."""
        if self._handle is None:
            return ''
        return self._handle._replace(offset=self.next_offset).encode()

    async def read(self, response: ResponseStream) -> AsyncIterator[Tokens]:
        """Yield the new tokens of a response; return at the end of the stream.

        :param response: a response whose head has arrived.
        :raises ResponseBrokenError: if the response is truncated.
        :raises CallError: if an error event ends it, or tokens are missing.
        """
        reader = SseReader()
        async for part in response.read_parts():
            for event in reader.feed(part):
                if event.data == END_DATA:
                    return
                if event.event == 'error':
                    raise read_error_event(response, event.data)
                tokens = self._join(event)
                if tokens is not None:
                    yield tokens
        failure = CallFailure(sent=True, broken=False, reason='ended without [DONE]')
        raise ResponseBrokenError(failure)

    def _join(self, event: SseEvent) -> Tokens | None:
        """Return the tokens of an event, or None if they were read before.

        A gap, or an event that starts inside the tokens that were read, would give
        the caller a response that no engine has generated.
        """
        try:
            chunk = _decoder.decode(event.data)
            offset = int(event.event_id)
        except (msgspec.DecodeError, ValueError):
            raise _describe_gap('an event cannot be read') from None
        count = chunk.get('token_count', 0)
        if offset + count <= self.next_offset and offset < self.next_offset:
            return None
        if offset != self.next_offset:
            raise _describe_gap(f'expected token {self.next_offset}, got {offset}')
        self.next_offset = offset + count
        choices = chunk.get('choices', [])
        text = ''.join(
            [choice.get('delta', {}).get('content') or '' for choice in choices]
        )
        self.text += text
        return Tokens(offset, count, text)


def _describe_gap(message: str) -> CallError:
    return CallError(ResultCode.ANSWER_TRUNCATED, Ran.UNKNOWN, message)
