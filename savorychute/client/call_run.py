"""One call with all its tries."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import msgspec

from savorychute.client.call_error import CallError
from savorychute.client.refusal import is_refusal, read_code, read_refusal
from savorychute.client.response_stream import ResponseBrokenError, ResponseStream
from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from random import Random

    from savorychute.client.address_book import AddressBook
    from savorychute.client.client_settings import ClientSettings
    from savorychute.clock import Clock
    from savorychute.http.client_pool import ClientPool

MS_PER_S = 1_000
OK_STATUS = 200
REDIRECT_STATUS = 307
# The instance cannot serve, another can at once.
ELSEWHERE_CODES = (
    ResultCode.SHUTTING_DOWN,
    ResultCode.NOT_READY,
    ResultCode.CONNECTIONS_EXHAUSTED,
    ResultCode.MEMORY_EXHAUSTED,
)
# Said without a look at the request's key, and so of one try alone.
BLIND_CODES = (
    *ELSEWHERE_CODES,
    ResultCode.BODY_TOO_LARGE,
    ResultCode.HEADERS_TOO_LARGE,
    ResultCode.MALFORMED_HTTP,
    ResultCode.SLOW_CALLER,
    ResultCode.WRONG_INSTANCE,
)
# Nothing runs under this key any more, or not while its witness is gone; a new
# key has another witness.
SPENT_KEY_CODES = (
    ResultCode.KEY_REVOKED,
    ResultCode.KEY_TOO_OLD,
    ResultCode.WITNESS_UNAVAILABLE,
)


class CallRun:
    """Tries a request until there is an answer, a reason, or no time.

    A request is sent again only if it cannot have run, if its class is
    idempotent, or under its key, with which the system runs it at most once.

    :param request: method, target, headers and body.
    :param idempotent: whether it may run more than once.
    :param timeout_ms: the bound on all tries together.
    """

    def __init__(
        self,
        settings: ClientSettings,
        pool: ClientPool,
        book: AddressBook,
        clock: Clock,
        rng: Random,
        request: HttpRequest,
        idempotent: bool,
        timeout_ms: int,
    ) -> None:
        self.handle = ''
        self._settings = settings
        self._pool = pool
        self._book = book
        self._clock = clock
        self._rng = rng
        self._request = request
        self._idempotent = idempotent
        self._deadline_ms = clock.now_ms() + timeout_ms
        self._key = ''
        self._next: ServerAddress | None = None
        self._address: ServerAddress | None = None
        self._failures = 0
        self._waits = 0
        self._redirects = 0
        self._may_have_run = False
        self._last: CallError | None = None

    @property
    def remaining_ms(self) -> int:
        """How much time is left."""
        return self._deadline_ms - self._clock.now_ms()

    async def open(self) -> ResponseStream:
        """Return a response that an endpoint gives, with its head.

        :raises CallError: if there is none.
        """
        while True:
            address = await self._choose()
            response = await self._try(address)
            if response is None:
                continue
            if response.status == REDIRECT_STATUS and is_refusal(response):
                self._follow(address, response)
            elif is_refusal(response):
                await self._consider(address, response)
            else:
                self._address = address
                return response

    def continue_from(self, offset: int, text: str) -> None:
        """Send the answer's beginning with further tries.

        If the stream is gone, an engine goes on from this text; without it the
        whole answer would be made anew.

        :param offset: how many tokens the caller has.
        :param text: these tokens.
        """
        if not self.handle or not offset:
            return
        document = msgspec.json.decode(self._request.body)
        document['continue_from'] = {'offset': offset, 'text': text}
        body = msgspec.json.encode(document)
        self._request = self._request._replace(body=body)

    async def note_broken(self, error: CallError, cut: bool) -> None:
        """Prepare a further try after an answer broke off.

        :param error: raised again if there must be no further try.
        :param cut: whether the instance's connection broke, and not only the
            answer that it passed on.
        """
        if cut and self._address is not None:
            self._book.note_failure(self._address)
        self._may_have_run = True
        self._last = error
        self._failures += 1
        repeatable = self._idempotent or self._key
        if not repeatable or self._failures > self._settings.max_failures:
            raise error
        await self._back_off()

    async def _choose(self) -> ServerAddress:
        self._check_time()
        if not self._idempotent and not self._key:
            await self._get_key()
        address = self._next or await self._book.choose()
        self._check_time()
        self._next = None
        return address

    async def _try(self, address: ServerAddress) -> ResponseStream | None:
        response = self._send(address, self._request)
        try:
            await response.wait_for_head()
        except TimeoutError:
            response.close()
            self._may_have_run = True
            raise self._make_timeout() from None
        except ResponseBrokenError as error:
            self._address = address
            await self._take_failure(address, error)
            return None
        return response

    async def _take_failure(
        self, address: ServerAddress, error: ResponseBrokenError
    ) -> None:
        if not error.sent:
            self._book.note_failure(address)
            await self._back_off()
            return
        unknown = CallError(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, error.message)
        await self.note_broken(unknown, cut=True)

    def _send(self, address: ServerAddress, request: HttpRequest) -> ResponseStream:
        headers = [
            *request.headers,
            ('authorization', f'Bearer {self._settings.token}'),
        ]
        if self._key:
            headers.append(('x-request-key', self._key))
        if self.handle:
            headers.append(('x-continuation-handle', self.handle))
        loop = asyncio.get_running_loop()
        response = ResponseStream(loop.time() + self.remaining_ms / MS_PER_S)
        response.call = self._pool.submit(
            address, request._replace(headers=tuple(headers)), response
        )
        return response

    def _follow(self, address: ServerAddress, response: ResponseStream) -> None:
        self._redirects += 1
        if read_code(response) in ELSEWHERE_CODES:
            self._book.note_failure(address)
        location = urlsplit(response.headers.get('location', ''))
        response.close()
        if not location.hostname or not location.port:
            return
        if self._redirects <= self._settings.max_redirects:
            self._next = ServerAddress(location.hostname, location.port)
            return
        message = 'too many redirects'
        raise self._conclude(CallError(ResultCode.WRONG_INSTANCE, Ran.NOT_RUN, message))

    async def _consider(self, address: ServerAddress, response: ResponseStream) -> None:
        """Wait and try again if a refusal permits it; else raise it."""
        body = b''
        with suppress(ResponseBrokenError, TimeoutError):
            body = await response.read_whole()
        error = read_refusal(response, body)
        self._last = error
        if error.ran is not Ran.NOT_RUN and error.code not in ELSEWHERE_CODES:
            await self._consider_unknown(error)
        elif error.code in SPENT_KEY_CODES:
            self._key = ''
            await self._back_off()
        elif error.code in ELSEWHERE_CODES:
            self._book.note_failure(address)
            await self._back_off()
        elif error.retry_after_ms > 0:
            await self._sleep(error.retry_after_ms, error)
        else:
            raise self._conclude(error)

    async def _consider_unknown(self, error: CallError) -> None:
        """Try an idempotent request again; a key's outcome stands as it is.

        A blind refusal is no outcome; the same key is asked for again.
        """
        repeatable = self._idempotent or error.code in BLIND_CODES
        if repeatable and error.retry_after_ms > 0:
            self._may_have_run = True
            self._failures += 1
            if self._failures <= self._settings.max_failures:
                await self._sleep(error.retry_after_ms, error)
                return
        raise self._conclude(error)

    def _conclude(self, error: CallError) -> CallError:
        """Return an error that says what is true of all tries together.

        Who decides a key speaks of all tries under it.  A redirect, or a
        refusal from before the key was looked at, speaks of its own try alone.
        """
        blind = not self._key or error.code in BLIND_CODES
        if self._may_have_run and error.ran is Ran.NOT_RUN and blind:
            error.ran = Ran.UNKNOWN
        return error

    async def _get_key(self) -> None:
        """Get a key, and send the request to the instance that issued it."""
        address = await self._book.choose()
        request = HttpRequest('POST', '/v1/keys')
        response = self._send(address, request)
        try:
            body = await response.read_whole()
        except (TimeoutError, ResponseBrokenError):
            response.close()
            self._book.note_failure(address)
            await self._back_off()
            return
        if response.status == OK_STATUS:
            self._key = msgspec.json.decode(body, type=dict[str, str])['key']
            self._next = address
            return
        error = read_refusal(response, body)
        if error.code not in ELSEWHERE_CODES:
            raise self._conclude(error)
        self._last = error
        self._book.note_failure(address)
        await self._back_off()

    async def _back_off(self) -> None:
        settings = self._settings
        self._waits += 1
        longest_ms = settings.min_backoff_ms * 2 ** min(self._waits, 16)
        longest_ms = min(longest_ms, settings.max_backoff_ms)
        wait_ms = min(self._rng.uniform(0, longest_ms), max(0, self.remaining_ms))
        await asyncio.sleep(wait_ms / MS_PER_S)
        self._check_time()

    async def _sleep(self, wait_ms: int, error: CallError) -> None:
        if wait_ms >= self.remaining_ms:
            raise self._conclude(error)
        await asyncio.sleep(wait_ms / MS_PER_S)

    def _check_time(self) -> None:
        if self.remaining_ms > 0:
            return
        raise self._conclude(self._last or self._make_timeout())

    def _make_timeout(self) -> CallError:
        ran = Ran.UNKNOWN if self._may_have_run else Ran.NOT_RUN
        return CallError(ResultCode.ANSWER_TIMEOUT, ran, 'no answer in time')
