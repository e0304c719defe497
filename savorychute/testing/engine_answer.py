"""Conversion of the events of a stand-in engine to HTTP responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from savorychute.testing.engine_events import (
    StreamAccepted,
    StreamEnded,
    StreamRefused,
    StreamTokens,
)
from savorychute.testing.stand_in_http import echo_id, respond_json

if TYPE_CHECKING:
    from savorychute.http.server_exchange import ServerExchange
    from savorychute.testing.engine_events import EngineEvent

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class EngineAnswer:
    """The response to one attempt, streamed or sent at once.

    :param exchange: the HTTP exchange of the attempt.
    :param streamed: whether to send server-sent events.
    """

    def __init__(self, exchange: ServerExchange, streamed: bool) -> None:
        self._exchange = exchange
        self._streamed = streamed
        self._stream_id = ''
        self._texts: list[str] = []

    def handle(self, event: EngineEvent) -> None:
        """Send the part of the response that belongs to an event."""
        if isinstance(event, StreamAccepted):
            self._accept(event)
        elif isinstance(event, StreamTokens):
            self._send(event)
        elif isinstance(event, StreamEnded):
            self._finish(event)
        elif isinstance(event, StreamRefused):
            self._refuse(event)
        else:
            self._exchange.abort()

    def _accept(self, event: StreamAccepted) -> None:
        self._stream_id = event.stream_id
        if self._streamed:
            headers = [
                ('content-type', 'text/event-stream'),
                ('x-stream-id', event.stream_id),
                *echo_id(self._exchange),
            ]
            self._exchange.start(STATUS_OK, headers)

    def _send(self, event: StreamTokens) -> None:
        if not self._streamed:
            self._texts.append(event.text)
            return
        document = {
            'choices': [{'index': 0, 'delta': {'content': event.text}}],
            'token_count': event.token_count,
        }
        data = msgspec.json.encode(document)
        self._exchange.send(b'id: %d\ndata: %b\n\n' % (event.offset, data))

    def _finish(self, event: StreamEnded) -> None:
        if self._streamed:
            self._exchange.send(b'data: [DONE]\n\n')
            self._exchange.finish()
            return
        message = {'role': 'assistant', 'content': ''.join(self._texts)}
        document = {
            'object': 'chat.completion',
            'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
            'usage': {
                'prompt_tokens': event.prompt_tokens,
                'completion_tokens': event.total_tokens,
            },
        }
        headers = [
            ('content-type', 'application/json'),
            ('x-stream-id', self._stream_id),
            *echo_id(self._exchange),
        ]
        self._exchange.respond(STATUS_OK, headers, msgspec.json.encode(document))

    def _refuse(self, event: StreamRefused) -> None:
        if event.status == STATUS_NOT_FOUND:
            respond_json(self._exchange, event.status, {'error': event.reason})
            return
        headers = [
            ('content-type', 'application/json'),
            ('x-not-started', '1'),
            *echo_id(self._exchange),
        ]
        if event.leaving:
            headers.append(('x-leaving', '1'))
        if event.paused:
            headers.append(('x-paused', '1'))
        body = msgspec.json.encode({'error': event.reason})
        self._exchange.respond(event.status, headers, body)
