"""The client."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from savorychute.client.address_table import AddressTable
from savorychute.client.call_error import CallError
from savorychute.client.call_execution import CallExecution
from savorychute.client.response_stream import ResponseBrokenError
from savorychute.client.stream_position import StreamPosition
from savorychute.client.whole_answer import WholeAnswer
from savorychute.clock import SystemClock
from savorychute.http.client_pool import open_pool
from savorychute.http.connector import DirectConnector
from savorychute.http.http_request import HttpRequest
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator

    from savorychute.client.calls import ChatCall, ServiceCall
    from savorychute.client.client_settings import ClientSettings
    from savorychute.client.response_stream import ResponseStream
    from savorychute.client.tokens import Tokens
    from savorychute.clock import Clock
    from savorychute.http.client_pool import ClientPool

JSON_TYPE = 'application/json'


class Client:
    """Makes calls that end with a complete response or a :class:`CallError`.

    :param settings: the seeds, the token and the limits.
    :param pool: the connections to instances.
    :param clock: the clock for deadlines.
    :param rng: the source of random backoffs.
    """

    def __init__(
        self,
        settings: ClientSettings,
        pool: ClientPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._addresses = AddressTable(settings, pool, clock)

    async def complete(self, call: ChatCall) -> WholeAnswer:
        """Return a model's complete response.

        :param call: the chat call.
        :raises CallError: if there is none.
        """
        request = _write_chat(call, stream=False)
        return await self._fetch(request, call.idempotent, call.timeout_ms)

    async def call_service(self, call: ServiceCall) -> WholeAnswer:
        """Return a plain service's complete response.

        :param call: the service call.
        :raises CallError: if there is none.
        """
        target = f'/v1/services/{quote(call.service, safe="")}{call.path}'
        headers = [('x-request-class', call.class_name)]
        if call.body:
            headers.append(('content-type', call.content_type))
        request = HttpRequest(call.method, target, tuple(headers), call.body)
        return await self._fetch(request, call.idempotent, call.timeout_ms)

    async def stream(self, call: ChatCall) -> AsyncIterator[Tokens]:
        """Yield a model's response as it arrives; the end means that it is complete.

        A truncated stream is resumed at another instance, at the first missing
        token; no token is yielded twice.

        :param call: the chat call.
        :raises CallError: if the response is truncated and cannot be resumed.
        """
        execution = self._start_execution(
            _write_chat(call, stream=True), call.idempotent, call.timeout_ms
        )
        position = StreamPosition()
        while True:
            response = await execution.open()
            position.set_handle(response)
            try:
                async for tokens in position.read(response):
                    yield tokens
                return
            except TimeoutError:
                raise _describe_timeout(response) from None
            except ResponseBrokenError as error:
                await execution.prepare_retry(
                    _describe_break(response, error), connection_broken=True
                )
            except CallError as error:
                if error.ran is Ran.NOT_RUN or not position.resumable:
                    raise
                await execution.prepare_retry(error, connection_broken=False)
            finally:
                response.close()
            if position.next_offset and not position.resumable:
                raise _describe_unresumable(response)
            execution.handle = position.encode_handle()
            execution.continue_from(position.next_offset, position.text)

    async def _fetch(
        self, request: HttpRequest, idempotent: bool, timeout_ms: int
    ) -> WholeAnswer:
        execution = self._start_execution(request, idempotent, timeout_ms)
        while True:
            response = await execution.open()
            try:
                body = await response.read_body()
                return _make_answer(response, body)
            except TimeoutError:
                raise _describe_timeout(response) from None
            except ResponseBrokenError as error:
                await execution.prepare_retry(
                    _describe_break(response, error), connection_broken=True
                )
            finally:
                response.close()

    def _start_execution(
        self, request: HttpRequest, idempotent: bool, timeout_ms: int
    ) -> CallExecution:
        return CallExecution(
            self._settings,
            self._pool,
            self._addresses,
            self._clock,
            self._rng,
            request,
            idempotent,
            timeout_ms,
        )


@asynccontextmanager
async def open_client(
    settings: ClientSettings,
    tls: ssl.SSLContext | None = None,
    clock: Clock | None = None,
    rng: random.Random | None = None,
) -> AsyncIterator[Client]:
    """Yield a client and close its connections when the block ends.

    :param settings: the seeds, the token and the limits.
    :param tls: the context of encrypted connections, or None for plain ones.
    :param clock: the clock for deadlines.
    :param rng: the source of random backoffs.
    """
    clock = clock or SystemClock()
    with open_pool(settings.pool, clock, DirectConnector(tls)) as pool:
        yield Client(settings, pool, clock, rng or random.Random())


def _write_chat(call: ChatCall, stream: bool) -> HttpRequest:
    document = {'model': call.model, 'messages': call.messages, 'stream': stream}
    if call.max_tokens:
        document['max_tokens'] = call.max_tokens
    headers = (('content-type', JSON_TYPE), ('x-request-class', call.class_name))
    body = msgspec.json.encode(document)
    return HttpRequest('POST', '/v1/chat/completions', headers, body)


def _make_answer(response: ResponseStream, body: bytes) -> WholeAnswer:
    headers = response.headers
    return WholeAnswer(
        status=response.status,
        content_type=headers.get('content-type', ''),
        body=body,
        request_id=headers.get('x-request-id', ''),
        attempt_id=headers.get('x-attempt-id', ''),
        endpoint=headers.get('x-endpoint', ''),
    )


def _describe_timeout(response: ResponseStream) -> CallError:
    return _describe(
        response, ResultCode.ANSWER_TIMEOUT, 'the response was not complete in time'
    )


def _describe_break(response: ResponseStream, error: ResponseBrokenError) -> CallError:
    return _describe(response, ResultCode.ANSWER_TRUNCATED, error.message)


def _describe_unresumable(response: ResponseStream) -> CallError:
    message = 'the response was truncated and cannot be resumed'
    return _describe(response, ResultCode.ANSWER_TRUNCATED, message)


def _describe(response: ResponseStream, code: ResultCode, message: str) -> CallError:
    request_id = response.headers.get('x-request-id', '')
    return CallError(code, Ran.UNKNOWN, message, request_id=request_id)
