"""The client."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from savorychute.client.address_book import AddressBook
from savorychute.client.call_error import CallError
from savorychute.client.call_run import CallRun
from savorychute.client.response_stream import ResponseBrokenError
from savorychute.client.stream_position import StreamPosition
from savorychute.client.whole_answer import WholeAnswer
from savorychute.clock import SystemClock
from savorychute.http.client_pool import open_pool
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
    """Calls that end with a whole answer or a :class:`CallError`.

    :param settings: seeds, token and bounds.
    :param pool: connections to instances.
    :param clock: the time for deadlines.
    :param rng: the source of random waits.
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
        self._book = AddressBook(settings, pool, clock)

    async def complete(self, call: ChatCall) -> WholeAnswer:
        """Return a model's whole answer.

        :param call: the question.
        :raises CallError: if there is none.
        """
        request = _write_chat(call, stream=False)
        return await self._fetch(request, call.idempotent, call.timeout_ms)

    async def call_service(self, call: ServiceCall) -> WholeAnswer:
        """Return a plain service's whole answer.

        :param call: the call.
        :raises CallError: if there is none.
        """
        target = f'/v1/services/{quote(call.service, safe="")}{call.path}'
        headers = [('x-request-class', call.class_name)]
        if call.body:
            headers.append(('content-type', call.content_type))
        request = HttpRequest(call.method, target, tuple(headers), call.body)
        return await self._fetch(request, call.idempotent, call.timeout_ms)

    async def stream(self, call: ChatCall) -> AsyncIterator[Tokens]:
        """Yield a model's answer as it comes; it ends only if it is whole.

        A stream that breaks off is resumed at another instance, at the token
        that is missing; nothing is yielded twice.

        :param call: the question.
        :raises CallError: if the answer breaks off for good.
        """
        run = self._start(
            _write_chat(call, stream=True), call.idempotent, call.timeout_ms
        )
        position = StreamPosition()
        while True:
            response = await run.open()
            position.enter(response)
            try:
                async for tokens in position.read(response):
                    yield tokens
                return
            except TimeoutError:
                raise _describe_timeout(response) from None
            except ResponseBrokenError as error:
                await run.note_broken(_describe_break(response, error), cut=True)
            except CallError as error:
                if error.ran is Ran.NOT_RUN or not position.resumable:
                    raise
                await run.note_broken(error, cut=False)
            finally:
                response.close()
            if position.next_offset and not position.resumable:
                raise _describe_lost(response)
            run.handle = position.write_handle()
            run.continue_from(position.next_offset, position.text)

    async def _fetch(
        self, request: HttpRequest, idempotent: bool, timeout_ms: int
    ) -> WholeAnswer:
        run = self._start(request, idempotent, timeout_ms)
        while True:
            response = await run.open()
            try:
                body = await response.read_whole()
                return _make_answer(response, body)
            except TimeoutError:
                raise _describe_timeout(response) from None
            except ResponseBrokenError as error:
                await run.note_broken(_describe_break(response, error), cut=True)
            finally:
                response.close()

    def _start(
        self, request: HttpRequest, idempotent: bool, timeout_ms: int
    ) -> CallRun:
        return CallRun(
            self._settings,
            self._pool,
            self._book,
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
    """Give a client and close its connections when the block ends.

    :param settings: seeds, token and bounds.
    :param tls: the context of encrypted connections, or none for plain ones.
    :param clock: the time for deadlines.
    :param rng: the source of random waits.
    """
    clock = clock or SystemClock()
    with open_pool(settings.pool, clock, tls) as pool:
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
    return _describe(response, ResultCode.ANSWER_TIMEOUT, 'not whole in time')


def _describe_break(response: ResponseStream, error: ResponseBrokenError) -> CallError:
    return _describe(response, ResultCode.ANSWER_TRUNCATED, error.message)


def _describe_lost(response: ResponseStream) -> CallError:
    message = 'the answer broke off and cannot be resumed'
    return _describe(response, ResultCode.ANSWER_TRUNCATED, message)


def _describe(response: ResponseStream, code: ResultCode, message: str) -> CallError:
    request_id = response.headers.get('x-request-id', '')
    return CallError(code, Ran.UNKNOWN, message, request_id=request_id)
