"""HTTP server of a stand-in model engine."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import msgspec

from savorychute.testing.due_timer import DueTimer
from savorychute.testing.engine_answer import EngineAnswer
from savorychute.testing.engine_request import EngineRequest
from savorychute.testing.order_handler import EngineOrder
from savorychute.testing.stand_in_http import LOOPBACK, loop_ms, respond_json, serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from savorychute.http.http_server import HttpServer
    from savorychute.http.server_exchange import ServerExchange
    from savorychute.testing.engine import ModelEngine
    from savorychute.testing.engine_events import EngineEvent

CHAT_PATH = '/v1/chat/completions'
STREAMS_PREFIX = '/v1/streams/'
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


class ChatMessage(msgspec.Struct):
    """One message of a prompt."""

    content: str
    role: str = 'user'


class ContinueFrom(msgspec.Struct):
    """The text that an answer continues, and its token count."""

    offset: int
    text: str


class ChatBody(msgspec.Struct):
    """The body of a chat completion."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int = 0
    priority: int = 0
    continue_from: ContinueFrom | None = None


class ResumeBody(msgspec.Struct):
    """The body of a resume request."""

    offset: int
    only_if_interrupted: bool = False


class CancelBody(msgspec.Struct):
    """The body of a cancel request."""

    keep: bool = False


class OrderBody(msgspec.Struct):
    """The body of an order."""

    verb: str
    target: str
    fencing: int
    expected_state: str = ''


class EngineServer:
    """Serves a :class:`ModelEngine` over HTTP.

    :param engine: the engine.
    """

    def __init__(self, engine: ModelEngine) -> None:
        self.engine = engine
        self.port = 0
        self.requests_seen = 0
        self._answers: dict[str, EngineAnswer] = {}
        self._due_timer = DueTimer(engine.next_event_ms, self._advance)
        self._last_number = 0

    def handle(self, exchange: ServerExchange) -> None:
        """Handle one HTTP request."""
        self.requests_seen += 1
        if not self.engine.is_up:
            exchange.abort()
            return
        try:
            self._dispatch(exchange)
        except (msgspec.DecodeError, ValueError) as error:
            respond_json(exchange, STATUS_BAD_REQUEST, {'error': str(error)})

    def apply(self, events: Sequence[EngineEvent]) -> None:
        """Send events of the engine, such as those caused by a fault."""
        for event in events:
            answer = self._answers.get(event.attempt_id)
            if answer is not None:
                answer.handle(event)
        self._due_timer.rearm()

    def crash(self) -> None:
        """Crash the engine, which breaks every open connection."""
        self.apply(self.engine.crash(loop_ms()))

    def stop(self) -> None:
        """Stop the timer."""
        self._due_timer.stop()

    def _dispatch(self, exchange: ServerExchange) -> None:
        url = urlsplit(exchange.request.target)
        if url.path == CHAT_PATH:
            self._chat(exchange)
        elif url.path.startswith(STREAMS_PREFIX):
            self._control_stream(exchange, url.path.removeprefix(STREAMS_PREFIX))
        elif url.path == '/v1/load':
            self._load(exchange, url.query)
        elif url.path == '/v1/orders':
            self._order(exchange)
        else:
            respond_json(exchange, STATUS_NOT_FOUND, {'error': 'no such path'})

    def _chat(self, exchange: ServerExchange) -> None:
        body = msgspec.json.decode(exchange.request.body, type=ChatBody)
        self._last_number += 1
        attempt_id = exchange.request.header('x-attempt-id') or f'n{self._last_number}'
        stream_id = exchange.request.header('x-stream-id') or f's{self._last_number}'
        continuation = body.continue_from or ContinueFrom(0, '')
        request = EngineRequest(
            attempt_id=attempt_id,
            stream_id=stream_id,
            model=body.model,
            prompt='\n'.join(message.content for message in body.messages),
            max_tokens=body.max_tokens,
            priority=body.priority,
            keep_on_close=exchange.request.header('x-keep-on-close') == '1',
            continue_offset=continuation.offset,
            continue_text=continuation.text,
        )
        self._attach(exchange, attempt_id, body.stream)
        self.apply(self.engine.submit(request, loop_ms()))

    def _control_stream(self, exchange: ServerExchange, rest: str) -> None:
        stream_id, _, verb = rest.rpartition('/')
        if verb == 'resume':
            self._resume(exchange, stream_id)
        elif verb == 'cancel':
            cancel = msgspec.json.decode(
                exchange.request.body or b'{}', type=CancelBody
            )
            self.apply(self.engine.cancel(stream_id, cancel.keep, loop_ms()))
            respond_json(exchange, STATUS_OK, {'outcome': 'done'})
        else:
            respond_json(exchange, STATUS_NOT_FOUND, {'error': 'no such verb'})

    def _resume(self, exchange: ServerExchange, stream_id: str) -> None:
        body = msgspec.json.decode(exchange.request.body, type=ResumeBody)
        self._last_number += 1
        attempt_id = exchange.request.header('x-attempt-id') or f'n{self._last_number}'
        self._attach(exchange, attempt_id, True)
        events = self.engine.resume(
            stream_id, attempt_id, body.offset, loop_ms(), body.only_if_interrupted
        )
        self.apply(events)

    def _load(self, exchange: ServerExchange, query: str) -> None:
        if self.engine.unresponsive:
            return
        cursor = int(parse_qs(query).get('cursor', ['0'])[0])
        load = self.engine.report(cursor, loop_ms())
        respond_json(exchange, STATUS_OK, load._asdict())

    def _order(self, exchange: ServerExchange) -> None:
        body = msgspec.json.decode(exchange.request.body, type=OrderBody)
        order = EngineOrder(body.verb, body.target, body.fencing, body.expected_state)
        outcome = self.engine.order(order, loop_ms())
        status = STATUS_OK if outcome == 'done' else STATUS_CONFLICT
        respond_json(exchange, status, {'outcome': outcome})

    def _attach(
        self, exchange: ServerExchange, attempt_id: str, streamed: bool
    ) -> None:
        answer = EngineAnswer(exchange, streamed)
        self._answers[attempt_id] = answer
        exchange.on_left = lambda: self._handle_disconnect(attempt_id, answer)

    def _handle_disconnect(self, attempt_id: str, answer: EngineAnswer) -> None:
        if self._answers.get(attempt_id) is not answer:
            return
        del self._answers[attempt_id]
        self.apply(self.engine.close(attempt_id, loop_ms()))

    def _advance(self) -> None:
        self.apply(self.engine.advance(loop_ms()))


@asynccontextmanager
async def serve_engine(
    engine: ModelEngine, host: str = LOOPBACK, port: int = 0
) -> AsyncIterator[EngineServer]:
    """Serve an engine until the block ends.

    :param engine: the engine.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    stand_in = EngineServer(engine)
    http: HttpServer
    async with serve(stand_in.handle, host, port) as http:
        stand_in.port = http.port
        try:
            yield stand_in
        finally:
            stand_in.stop()
