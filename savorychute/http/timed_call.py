"""Calls with a timeout for the whole response, or between received parts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.http.call_failure import CallFailure
from savorychute.http.response_collector import MAX_BODY_BYTES, ResponseCollector

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.http.client_call import ClientCall
    from savorychute.http.client_pool import ClientPool, ServerAddress
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.http_response import HttpResponse

MS_PER_S = 1_000


def submit_timed(
    pool: ClientPool,
    address: ServerAddress,
    request: HttpRequest,
    timeout_ms: int,
    on_response: Callable[[HttpResponse], None],
    on_failure: Callable[[CallFailure], None],
    can_send: Callable[[], bool] | None = None,
    max_bytes: int = MAX_BODY_BYTES,
    is_foreign: Callable[[dict[str, str]], bool] | None = None,
    *,
    unused: bool = False,
) -> ClientCall:
    """Send a request and report its complete response or a failure.

    :param pool: the connection pool.
    :param address: the server.
    :param request: the request to send.
    :param timeout_ms: time limit from now until the end of the response.
    :param on_response: called with the response.
    :param on_failure: called if there is no response in time.
    :param can_send: called immediately before the first byte is sent; if it returns
        false, nothing is sent.
    :param max_bytes: the size of the largest accepted body.
    :param is_foreign: returns whether a response belongs to another request, by its
        headers.
    :param unused: whether only a new connection may be used.
    """
    loop = asyncio.get_running_loop()

    def time_out() -> None:
        sent = call.sent
        call.cancel()
        on_failure(CallFailure(sent=sent, broken=False, reason='timeout'))

    def handle_response(response: HttpResponse) -> None:
        timer.cancel()
        on_response(response)

    def handle_failure(failure: CallFailure) -> None:
        timer.cancel()
        on_failure(failure)

    handler = ResponseCollector(
        handle_response,
        handle_failure,
        max_bytes,
        can_send=can_send,
        is_foreign=is_foreign,
    )
    call = handler.call = pool.submit(address, request, handler, unused=unused)
    timer = loop.call_later(timeout_ms / MS_PER_S, time_out)
    return call


async def fetch(
    pool: ClientPool, address: ServerAddress, request: HttpRequest, timeout_ms: int
) -> HttpResponse | CallFailure:
    """Send a request and return its complete response, or its failure.

    :param pool: the connection pool.
    :param address: the server.
    :param request: the request to send.
    :param timeout_ms: time limit from now until the end of the response.
    """
    done = _CallOutcome()
    call = submit_timed(pool, address, request, timeout_ms, done.settle, done.settle)
    return await done.wait_for(call)


async def fetch_large(
    pool: ClientPool, address: ServerAddress, request: HttpRequest, silence_ms: int
) -> HttpResponse | CallFailure:
    """Send a request whose response may be large, and return it or its failure.

    Over a slow link, a large response takes longer than the server may pause between
    two parts.  With a time limit on the whole response, each call would be cancelled
    before its end, and none would ever complete.

    :param pool: the connection pool.
    :param address: the server.
    :param request: the request to send.
    :param silence_ms: how long the server may send nothing.
    """
    done = _CallOutcome()
    monitor = _SilenceMonitor(silence_ms)
    handler = ResponseCollector(done.settle, done.settle, on_part=monitor.record_data)
    call = handler.call = pool.submit(address, request, handler)

    def time_out() -> None:
        sent = call.sent
        call.cancel()
        done.settle(CallFailure(sent=sent, broken=False, reason='timeout'))

    monitor.start(time_out)
    try:
        return await done.wait_for(call)
    finally:
        monitor.stop()


class _SilenceMonitor:
    """Calls back when a server has sent nothing for a given time.

    :param silence_ms: how long the server may send nothing.
    """

    def __init__(self, silence_ms: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._silence_s = silence_ms / MS_PER_S
        self._last_data_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def record_data(self) -> None:
        self._last_data_s = self._loop.time()

    def start(self, on_silence: Callable[[], None]) -> None:
        left_s = self._last_data_s + self._silence_s - self._loop.time()
        if left_s <= 0:
            on_silence()
            return
        self._timer = self._loop.call_later(left_s, self.start, on_silence)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class _CallOutcome:
    """A future for the outcome of a call."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._done: asyncio.Future[HttpResponse | CallFailure] = loop.create_future()

    def settle(self, outcome: HttpResponse | CallFailure) -> None:
        if not self._done.done():
            self._done.set_result(outcome)

    async def wait_for(self, call: ClientCall) -> HttpResponse | CallFailure:
        try:
            return await self._done
        except asyncio.CancelledError:
            call.cancel()
            raise
