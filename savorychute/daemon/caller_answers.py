"""Answers to callers over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from savorychute.daemon.token_event import (
    END_EVENT,
    EVENT_STREAM_TYPE,
    encode_tokens,
)
from savorychute.http.error_response import JSON_TYPE, encode_error, error_headers
from savorychute.inputs import CallerLeft
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import (
        FinishResponse,
        RefuseRequest,
        SendChunk,
        StartResponse,
    )
    from savorychute.daemon.host_port import HostPort
    from savorychute.http.server_exchange import ServerExchange
    from savorychute.inputs import CallerRequest

PASSED_REQUEST_HEADERS = ('accept', 'content-type', 'if-match', 'if-none-match')


class OpenAnswer:
    """A caller's request that is not answered yet.

    :param exchange: the request on its connection.
    :param streamed: whether the caller asked for a model's stream.
    """

    __slots__ = ('events', 'exchange', 'streamed')

    def __init__(self, exchange: ServerExchange, streamed: bool) -> None:
        self.exchange = exchange
        self.streamed = streamed
        self.events = False


class CallerAnswers:
    """Passes answers on to the callers that wait for them.

    :param host: gets requests and news of callers that left.
    """

    def __init__(self, host: HostPort) -> None:
        self._host = host
        self._answers: dict[str, OpenAnswer] = {}

    @property
    def in_progress(self) -> int:
        """How many requests are not answered yet."""
        return len(self._answers)

    def take(self, exchange: ServerExchange, request: CallerRequest) -> None:
        """Give a request to the instance.

        :param exchange: the request on its connection.
        :param request: what was read from it.
        """
        request_id = request.request_id
        self._answers[request_id] = OpenAnswer(exchange, request.stream)
        exchange.on_left = lambda: self._leave(request_id)
        exchange.on_pause = lambda: self._host.attempts.pause(request_id)
        exchange.on_resume = lambda: self._host.attempts.resume(request_id)
        self._host.deliver(request)

    def is_paused(self, request_id: str) -> bool:
        """Return whether a request's caller reads too slowly.

        :param request_id: the request.
        """
        answer = self._answers.get(request_id)
        return answer is not None and answer.exchange.paused

    def passed_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Return the caller's headers that its endpoint gets.

        :param request_id: the request.
        """
        answer = self._answers.get(request_id)
        if answer is None:
            return ()
        return tuple(
            (name, value)
            for name, value in answer.exchange.request.headers
            if name in PASSED_REQUEST_HEADERS
        )

    def start(self, head: StartResponse) -> None:
        """Send the head of an answer.

        :param head: status and ids.
        """
        answer = self._answers.get(head.request_id)
        if answer is None:
            return
        answer.events = answer.streamed and head.status == HTTPStatus.OK
        headers = [
            ('x-request-id', head.request_id),
            ('x-attempt-id', head.attempt_id),
            ('x-endpoint', head.endpoint),
            ('x-result-code', '0'),
            ('x-ran', 'ran'),
        ]
        content_type = EVENT_STREAM_TYPE if answer.events else head.content_type
        if answer.streamed and not answer.events:
            content_type = JSON_TYPE
        if content_type:
            headers.append(('content-type', content_type))
        headers += self._host.attempts.passed_headers(head.attempt_id)
        if head.handle:
            headers.append(('x-continuation-handle', head.handle))
        answer.exchange.start(head.status, headers)

    def send(self, chunk: SendChunk) -> None:
        """Send a part of an answer; tokens of a stream as an event.

        :param chunk: the text, or the bytes of any other answer.
        """
        answer = self._answers.get(chunk.request_id)
        if answer is None:
            return
        data = chunk.data
        if answer.events:
            data = encode_tokens(chunk.offset, chunk.token_count, data)
        answer.exchange.send(data)

    def finish(self, finish: FinishResponse) -> None:
        """End an answer, so that a cut one is never taken for a whole one.

        Events end with ``[DONE]`` or an error event.  Any other answer that
        broke off loses its connection before the last chunk.

        :param finish: how it ended.
        """
        answer = self._answers.pop(finish.request_id, None)
        if answer is None:
            return
        exchange = answer.exchange
        whole = finish.code is ResultCode.OK
        if not exchange.started:
            self._answer_unstarted(exchange, finish)
        elif answer.events:
            exchange.finish(END_EVENT if whole else _encode_error_event(finish))
        elif whole:
            exchange.finish()
        else:
            exchange.abort()

    def refuse(self, refusal: RefuseRequest) -> None:
        """Answer with the reason why there is no other answer.

        :param refusal: the reason, and whether the request ran.
        """
        answer = self._answers.pop(refusal.request_id, None)
        if answer is None:
            return
        code = refusal.code
        headers = error_headers(code, refusal.ran, refusal.retry_after_ms)
        headers.append(('x-request-id', refusal.request_id))
        headers.append(('x-attempt-id', refusal.attempt_id))
        headers.append(('x-endpoint', refusal.endpoint))
        if refusal.handle:
            headers.append(('x-continuation-handle', refusal.handle))
        status = code.status
        exchange = answer.exchange
        if refusal.location:
            status = HTTPStatus.TEMPORARY_REDIRECT
            scheme = self._host.scheme
            target = exchange.request.target
            headers.append(('location', f'{scheme}://{refusal.location}{target}'))
        body = encode_error(code, refusal.ran, refusal.message, refusal.handle)
        exchange.respond(status, headers, body)

    def _answer_unstarted(
        self, exchange: ServerExchange, finish: FinishResponse
    ) -> None:
        code = finish.code
        headers = error_headers(code, finish.ran)
        headers.append(('x-request-id', finish.request_id))
        body = encode_error(code, finish.ran, finish.message, finish.handle)
        exchange.respond(code.status, headers, body)

    def _leave(self, request_id: str) -> None:
        if self._answers.pop(request_id, None) is not None:
            self._host.deliver(CallerLeft(request_id))


def _encode_error_event(finish: FinishResponse) -> bytes:
    data = encode_error(finish.code, finish.ran, finish.message, finish.handle)
    return b'event: error\ndata: %b\n\n' % data
