"""Execution of one call with all its attempts."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import msgspec

from savorychute.client.call_error import CallError
from savorychute.client.refusal import (
    is_of_instance,
    is_refusal,
    read_code,
    read_refusal,
)
from savorychute.client.response_stream import ResponseBrokenError, ResponseStream
from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from random import Random

    from savorychute.client.address_table import AddressTable
    from savorychute.client.client_settings import ClientSettings
    from savorychute.clock import Clock
    from savorychute.http.client_pool import ClientPool

MS_PER_S = 1_000
OK_STATUS = 200
REDIRECT_STATUS = 307
# The instance cannot serve the request, but another one can at once.
OTHER_INSTANCE_CODES = (
    ResultCode.SHUTTING_DOWN,
    ResultCode.NOT_READY,
    ResultCode.CONNECTIONS_EXHAUSTED,
    ResultCode.MEMORY_EXHAUSTED,
)
# Refusals that are decided without the request's key; they state something only
# about the refused attempt.
KEYLESS_CODES = (
    *OTHER_INSTANCE_CODES,
    ResultCode.BODY_TOO_LARGE,
    ResultCode.HEADERS_TOO_LARGE,
    ResultCode.MALFORMED_HTTP,
    ResultCode.SLOW_CALLER,
    ResultCode.WRONG_INSTANCE,
)
# Nothing runs under this key any more, or not while its witness is unavailable; a
# new key has another witness.
UNUSABLE_KEY_CODES = (
    ResultCode.KEY_REVOKED,
    ResultCode.KEY_TOO_OLD,
    ResultCode.WITNESS_UNAVAILABLE,
)


class CallExecution:
    """Sends a request until it gets a response or a final error, or the time is up.

    A request is retried only if it cannot have run, if its class is idempotent,
    or with its key, under which the system runs it at most once.

    :param settings: the settings of the client.
    :param pool: the connections to instances.
    :param addresses: the addresses of instances.
    :param clock: the clock for the deadline.
    :param rng: the source of random backoffs.
    :param request: the method, target, headers and body.
    :param idempotent: whether the request may run more than once.
    :param timeout_ms: the time limit for all attempts together.
    """

    def __init__(
        self,
        settings: ClientSettings,
        pool: ClientPool,
        addresses: AddressTable,
        clock: Clock,
        rng: Random,
        request: HttpRequest,
        idempotent: bool,
        timeout_ms: int,
    ) -> None:
        self.handle = ''
        self._settings = settings
        self._pool = pool
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._request = request
        self._idempotent = idempotent
        self._deadline_ms = clock.now_ms() + timeout_ms
        self._key = ''
        self._next_address: ServerAddress | None = None
        self._address: ServerAddress | None = None
        self._failures = 0
        self._backoffs = 0
        self._redirects = 0
        self._may_have_run = False
        self._last_error: CallError | None = None

    @property
    def remaining_ms(self) -> int:
        """The time left until the deadline."""
        return self._deadline_ms - self._clock.now_ms()

    async def open(self) -> ResponseStream:
        """Return the response of an endpoint as soon as its head has arrived.

        :raises CallError: if there is none.
        """
        while True:
            address = await self._choose_address()
            response = await self._send_attempt(address)
            if response is None:
                continue
            if not is_of_instance(response):
                await self._handle_intermediary(address, response)
            elif response.status == REDIRECT_STATUS and is_refusal(response):
                self._follow_redirect(address, response)
            elif is_refusal(response):
                await self._handle_refusal(address, response)
            else:
                self._address = address
                return response

    def continue_from(self, offset: int, text: str) -> None:
        """Send the received start of the response with further attempts.

        If the stream is lost, an engine continues from this text; without it the
        whole response would be generated again.

        :param offset: the number of tokens that the caller has received.
        :param text: the text of these tokens.
        """
        if not self.handle or not offset:
            return
        document = msgspec.json.decode(self._request.body)
        document['continue_from'] = {'offset': offset, 'text': text}
        body = msgspec.json.encode(document)
        request = self._request
        self._request = HttpRequest(
            request.method, request.target, request.headers, body
        )

    async def prepare_retry(self, error: CallError, connection_broken: bool) -> None:
        """Prepare a retry after a truncated response.

        :param error: the error to raise if no retry is allowed.
        :param connection_broken: whether the connection to the instance broke, rather
            than only the response that the instance forwarded.
        """
        if connection_broken and self._address is not None:
            self._addresses.record_failure(self._address)
        self._may_have_run = True
        self._last_error = error
        self._failures += 1
        retryable = self._idempotent or self._key
        if not retryable or self._failures > self._settings.max_failures:
            raise error
        await self._back_off()

    async def _choose_address(self) -> ServerAddress:
        self._check_deadline()
        if not self._idempotent and not self._key:
            await self._get_key()
        address = self._next_address or await self._addresses.choose()
        self._check_deadline()
        self._next_address = None
        return address

    async def _send_attempt(self, address: ServerAddress) -> ResponseStream | None:
        response = self._send(address, self._request)
        try:
            await response.wait_for_head()
        except TimeoutError:
            response.close()
            self._may_have_run = True
            raise self._make_timeout() from None
        except ResponseBrokenError as error:
            self._address = address
            await self._handle_failure(address, error)
            return None
        return response

    async def _handle_failure(
        self, address: ServerAddress, error: ResponseBrokenError
    ) -> None:
        if not error.sent:
            self._addresses.record_failure(address)
            await self._back_off()
            return
        unknown = CallError(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, error.message)
        await self.prepare_retry(unknown, connection_broken=True)

    async def _handle_intermediary(
        self, address: ServerAddress, response: ResponseStream
    ) -> None:
        """Retry after a response of an intermediary, which knows of no outcome."""
        response.close()
        self._address = address
        message = f'status {response.status}, not of an instance'
        unknown = CallError(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, message)
        await self.prepare_retry(unknown, connection_broken=True)

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
            address,
            request.with_headers(tuple(headers)),
            response,
            # A late response to an earlier call would be taken for the key's outcome.
            unused=not self._idempotent,
        )
        return response

    def _follow_redirect(
        self, address: ServerAddress, response: ResponseStream
    ) -> None:
        self._redirects += 1
        if read_code(response) in OTHER_INSTANCE_CODES:
            self._addresses.record_failure(address)
        location = urlsplit(response.headers.get('location', ''))
        response.close()
        if not location.hostname or not location.port:
            return
        if self._redirects <= self._settings.max_redirects:
            self._next_address = ServerAddress(location.hostname, location.port)
            return
        message = 'too many redirects'
        raise self._correct_ran(
            CallError(ResultCode.WRONG_INSTANCE, Ran.NOT_RUN, message)
        )

    async def _handle_refusal(
        self, address: ServerAddress, response: ResponseStream
    ) -> None:
        """Wait for a retry if the refusal permits one; otherwise raise it."""
        body = b''
        with suppress(ResponseBrokenError, TimeoutError):
            body = await response.read_body()
        error = read_refusal(response, body)
        self._last_error = error
        if error.ran is not Ran.NOT_RUN and error.code not in OTHER_INSTANCE_CODES:
            await self._handle_unknown_outcome(error)
        elif error.code in UNUSABLE_KEY_CODES:
            self._key = ''
            await self._back_off()
        elif error.code in OTHER_INSTANCE_CODES:
            self._addresses.record_failure(address)
            await self._back_off()
        elif error.retry_after_ms > 0:
            await self._sleep(error.retry_after_ms, error)
        else:
            raise self._correct_ran(error)

    async def _handle_unknown_outcome(self, error: CallError) -> None:
        """Retry an idempotent request; the outcome of a key is final.

        A refusal that was decided without the key is no outcome, so the request is
        retried under the same key.
        """
        retryable = self._idempotent or error.code in KEYLESS_CODES
        if retryable and error.retry_after_ms > 0:
            self._may_have_run = True
            self._failures += 1
            if self._failures <= self._settings.max_failures:
                await self._sleep(error.retry_after_ms, error)
                return
        raise self._correct_ran(error)

    def _correct_ran(self, error: CallError) -> CallError:
        """Return an error whose ``ran`` is true for all attempts together.

        A refusal that was decided by the key covers all attempts under that key.  A
        redirect, or a refusal that was decided without the key, covers only its own
        attempt.
        """
        keyless = not self._key or error.code in KEYLESS_CODES
        if self._may_have_run and error.ran is Ran.NOT_RUN and keyless:
            error.ran = Ran.UNKNOWN
        return error

    async def _get_key(self) -> None:
        """Get a key, and address the next attempt to the instance that issued it."""
        address = await self._addresses.choose()
        request = HttpRequest('POST', '/v1/keys')
        response = self._send(address, request)
        try:
            body = await response.read_body()
        except (TimeoutError, ResponseBrokenError):
            response.close()
            self._addresses.record_failure(address)
            await self._back_off()
            return
        if response.status == OK_STATUS:
            self._key = msgspec.json.decode(body, type=dict[str, str])['key']
            self._next_address = address
            return
        error = read_refusal(response, body)
        if error.code not in OTHER_INSTANCE_CODES:
            raise self._correct_ran(error)
        self._last_error = error
        self._addresses.record_failure(address)
        await self._back_off()

    async def _back_off(self) -> None:
        settings = self._settings
        self._backoffs += 1
        max_wait_ms = settings.min_backoff_ms * 2 ** min(self._backoffs, 16)
        max_wait_ms = min(max_wait_ms, settings.max_backoff_ms)
        wait_ms = min(self._rng.uniform(0, max_wait_ms), max(0, self.remaining_ms))
        await asyncio.sleep(wait_ms / MS_PER_S)
        self._check_deadline()

    async def _sleep(self, wait_ms: int, error: CallError) -> None:
        if wait_ms >= self.remaining_ms:
            raise self._correct_ran(error)
        await asyncio.sleep(wait_ms / MS_PER_S)

    def _check_deadline(self) -> None:
        if self.remaining_ms > 0:
            return
        raise self._correct_ran(self._last_error or self._make_timeout())

    def _make_timeout(self) -> CallError:
        ran = Ran.UNKNOWN if self._may_have_run else Ran.NOT_RUN
        return CallError(ResultCode.ANSWER_TIMEOUT, ran, 'no response in time')
