"""Answers to callers over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from savorychute.http.error_answer import encode_error, error_headers
from savorychute.inputs import CallerLeft
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import (
        FinishResponse,
        RefuseRequest,
        SendChunk,
        StartResponse,
    )
    from savorychute.daemon.host import DaemonHost
    from savorychute.http.server_exchange import ServerExchange
    from savorychute.inputs import CallerRequest

EVENT_STREAM_TYPE = 'text/event-stream'
END_EVENT = b'data: [DONE]\n\n'


class OpenAnswer:
    """A caller's request that is not answered yet.

    :param exchange: the request on its connection.
    """

    __slots__ = ('events', 'exchange')

    def __init__(self, exchange: ServerExchange) -> None:
        self.exchange = exchange
        self.events = False


class CallerAnswers:
    """Passes answers on to the callers that wait for them.

    :param host: gets requests and news of callers that left.
    """

    def __init__(self, host: DaemonHost) -> None:
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
        self._answers[request_id] = OpenAnswer(exchange)
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

    def start(self, head: StartResponse) -> None:
        """Send the head of an answer.

        :param head: status and ids.
        """
        answer = self._answers.get(head.request_id)
        if answer is None:
            return
        answer.events = head.content_type.startswith(EVENT_STREAM_TYPE)
        headers = [
            ('x-request-id', head.request_id),
            ('x-attempt-id', head.attempt_id),
            ('x-endpoint', head.endpoint),
            ('x-result-code', '0'),
            ('x-ran', 'ran'),
        ]
        if head.content_type:
            headers.append(('content-type', head.content_type))
        if head.handle:
            headers.append(('x-continuation-handle', head.handle))
        answer.exchange.start(head.status, headers)

    def send(self, chunk: SendChunk) -> None:
        """Send a part of an answer.

        :param chunk: the bytes.
        """
        answer = self._answers.get(chunk.request_id)
        if answer is not None:
            answer.exchange.send(chunk.data)

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
        if answer.events:
            exchange.send(END_EVENT if whole else _encode_error_event(finish))
            exchange.finish()
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

    def _leave(self, request_id: str) -> None:
        if self._answers.pop(request_id, None) is not None:
            self._host.deliver(CallerLeft(request_id))


def _encode_error_event(finish: FinishResponse) -> bytes:
    data = encode_error(finish.code, finish.ran, finish.message, finish.handle)
    return b'event: error\ndata: %b\n\n' % data
