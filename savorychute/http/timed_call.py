"""Calls with a bound on their duration, or on the silence of the server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.http.call_failure import CallFailure
from savorychute.http.whole_response import WholeResponse

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
    may_send: Callable[[], bool] | None = None,
) -> ClientCall:
    """Send a request and hand over its whole response, or a failure in time.

    :param pool: the connections.
    :param address: the server.
    :param request: what to send.
    :param timeout_ms: from now to the end of the response.
    :param on_response: called with the response.
    :param on_failure: called if there is none in time.
    :param may_send: asked right before the first byte leaves.
    """
    loop = asyncio.get_running_loop()

    def give_up() -> None:
        sent = call.sent
        call.cancel()
        on_failure(CallFailure(sent=sent, broken=False, reason='timeout'))

    def take_response(response: HttpResponse) -> None:
        timer.cancel()
        on_response(response)

    def take_failure(failure: CallFailure) -> None:
        timer.cancel()
        on_failure(failure)

    handler = WholeResponse(take_response, take_failure, may_send=may_send)
    call = pool.submit(address, request, handler)
    timer = loop.call_later(timeout_ms / MS_PER_S, give_up)
    return call


async def fetch(
    pool: ClientPool, address: ServerAddress, request: HttpRequest, timeout_ms: int
) -> HttpResponse | CallFailure:
    """Send a request and return its whole response, or how it failed.

    :param pool: the connections.
    :param address: the server.
    :param request: what to send.
    :param timeout_ms: from now to the end of the response.
    """
    done = _Outcome()
    call = submit_timed(pool, address, request, timeout_ms, done.settle, done.settle)
    return await done.of(call)


async def fetch_large(
    pool: ClientPool, address: ServerAddress, request: HttpRequest, silence_ms: int
) -> HttpResponse | CallFailure:
    """Send a request whose response may be large, and return it or how it failed.

    Over a slow link a large response takes longer than a server may stay silent.  With a
    bound on the whole, each try would be given up on its way, and none would ever end.

    :param pool: the connections.
    :param address: the server.
    :param request: what to send.
    :param silence_ms: how long the server may send nothing.
    """
    done = _Outcome()
    watch = _SilenceWatch(silence_ms)
    handler = WholeResponse(done.settle, done.settle, on_part=watch.hear)
    call = pool.submit(address, request, handler)

    def give_up() -> None:
        sent = call.sent
        call.cancel()
        done.settle(CallFailure(sent=sent, broken=False, reason='timeout'))

    watch.start(give_up)
    try:
        return await done.of(call)
    finally:
        watch.stop()


class _SilenceWatch:
    """Calls back when a server has sent nothing for some time.

    :param silence_ms: that time.
    """

    def __init__(self, silence_ms: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._silence_s = silence_ms / MS_PER_S
        self._heard_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def hear(self) -> None:
        self._heard_s = self._loop.time()

    def start(self, on_silence: Callable[[], None]) -> None:
        left_s = self._heard_s + self._silence_s - self._loop.time()
        if left_s <= 0:
            on_silence()
            return
        self._timer = self._loop.call_later(left_s, self.start, on_silence)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class _Outcome:
    """How a call ends, for one that waits for it."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._done: asyncio.Future[HttpResponse | CallFailure] = loop.create_future()

    def settle(self, outcome: HttpResponse | CallFailure) -> None:
        if not self._done.done():
            self._done.set_result(outcome)

    async def of(self, call: ClientCall) -> HttpResponse | CallFailure:
        try:
            return await self._done
        except asyncio.CancelledError:
            call.cancel()
            raise
