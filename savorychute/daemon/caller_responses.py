"""Responses to callers over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from savorychute.daemon.token_event import (
    END_EVENT,
    EVENT_STREAM_TYPE,
    encode_tokens,
)
from savorychute.http.error_response import (
    JSON_TYPE,
    choose_status,
    encode_error,
    error_headers,
)
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

FORWARDED_REQUEST_HEADERS = ('accept', 'content-type', 'if-match', 'if-none-match')


class PendingResponse:
    """The unfinished response to a caller's request.

    :param exchange: the request on its connection.
    :param streamed: whether the caller requested a model's stream.
    """

    __slots__ = ('event_stream', 'exchange', 'streamed')

    def __init__(self, exchange: ServerExchange, streamed: bool) -> None:
        self.exchange = exchange
        self.streamed = streamed
        self.event_stream = False


class CallerResponses:
    """Sends responses to the callers that wait for them.

    :param host: receives requests, and notices of callers that disconnected.
    """

    def __init__(self, host: HostPort) -> None:
        self._host = host
        self._pending: dict[str, PendingResponse] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests whose response is not finished."""
        return len(self._pending)

    def handle(self, exchange: ServerExchange, request: CallerRequest) -> None:
        """Deliver a request to the instance.

        :param exchange: the request on its connection.
        :param request: the request as it was parsed.
        """
        request_id = request.request_id
        self._pending[request_id] = PendingResponse(exchange, request.stream)
        exchange.on_left = lambda: self._handle_caller_left(request_id)
        exchange.on_pause = lambda: self._host.attempts.pause(request_id)
        exchange.on_resume = lambda: self._host.attempts.resume(request_id)
        self._host.deliver(request)

    def is_paused(self, request_id: str) -> bool:
        """Return whether a request's caller reads too slowly.

        :param request_id: the request.
        """
        response = self._pending.get(request_id)
        return response is not None and response.exchange.paused

    def forwarded_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Return the caller's headers that are forwarded to the endpoint.

        :param request_id: the request.
        """
        response = self._pending.get(request_id)
        if response is None:
            return ()
        return tuple(
            (name, value)
            for name, value in response.exchange.request.headers
            if name in FORWARDED_REQUEST_HEADERS
        )

    def start(self, head: StartResponse) -> None:
        """Send the head of a response.

        :param head: the status and ids.
        """
        response = self._pending.get(head.request_id)
        if response is None:
            return
        response.event_stream = response.streamed and head.status == HTTPStatus.OK
        headers = [
            ('x-request-id', head.request_id),
            ('x-attempt-id', head.attempt_id),
            ('x-endpoint', head.endpoint),
            ('x-result-code', '0'),
            ('x-ran', 'ran'),
        ]
        content_type = EVENT_STREAM_TYPE if response.event_stream else head.content_type
        if response.streamed and not response.event_stream:
            content_type = JSON_TYPE
        if content_type:
            headers.append(('content-type', content_type))
        headers += self._host.attempts.forwarded_headers(head.attempt_id)
        if head.handle:
            headers.append(('x-continuation-handle', head.handle))
        response.exchange.start(head.status, headers)

    def send(self, chunk: SendChunk) -> None:
        """Send a part of a response; tokens of a stream are sent as an event.

        :param chunk: the text of tokens, or the bytes of any other response.
        """
        response = self._pending.get(chunk.request_id)
        if response is None:
            return
        data = chunk.data
        if response.event_stream:
            data = encode_tokens(chunk.offset, chunk.token_count, data)
        response.exchange.send(data)

    def finish(self, finish: FinishResponse) -> None:
        """End a response, so that a truncated one never looks complete.

        Events end with ``[DONE]`` or an error event.  For any other truncated
        response, the connection is aborted before the last chunk.

        :param finish: how the response ended.
        """
        response = self._pending.pop(finish.request_id, None)
        if response is None:
            return
        exchange = response.exchange
        complete = finish.code is ResultCode.OK
        if not exchange.started:
            self._respond_unstarted(exchange, finish)
        elif response.event_stream:
            exchange.finish(END_EVENT if complete else _encode_error_event(finish))
        elif complete:
            exchange.finish()
        else:
            exchange.abort()

    def refuse(self, refusal: RefuseRequest) -> None:
        """Respond with an error.

        :param refusal: the reason, and whether the request ran.
        """
        response = self._pending.pop(refusal.request_id, None)
        if response is None:
            return
        code = refusal.code
        headers = error_headers(code, refusal.ran, refusal.retry_after_ms)
        headers.append(('x-request-id', refusal.request_id))
        headers.append(('x-attempt-id', refusal.attempt_id))
        headers.append(('x-endpoint', refusal.endpoint))
        if refusal.handle:
            headers.append(('x-continuation-handle', refusal.handle))
        status = choose_status(code, refusal.ran)
        exchange = response.exchange
        if refusal.location:
            status = HTTPStatus.TEMPORARY_REDIRECT
            scheme = self._host.scheme
            target = exchange.request.target
            headers.append(('location', f'{scheme}://{refusal.location}{target}'))
        body = encode_error(code, refusal.ran, refusal.message, refusal.handle)
        exchange.respond(status, headers, body)

    def _respond_unstarted(
        self, exchange: ServerExchange, finish: FinishResponse
    ) -> None:
        code = finish.code
        headers = error_headers(code, finish.ran)
        headers.append(('x-request-id', finish.request_id))
        body = encode_error(code, finish.ran, finish.message, finish.handle)
        exchange.respond(choose_status(code, finish.ran), headers, body)

    def _handle_caller_left(self, request_id: str) -> None:
        if self._pending.pop(request_id, None) is not None:
            self._host.deliver(CallerLeft(request_id))


def _encode_error_event(finish: FinishResponse) -> bytes:
    data = encode_error(finish.code, finish.ran, finish.message, finish.handle)
    return b'event: error\ndata: %b\n\n' % data
