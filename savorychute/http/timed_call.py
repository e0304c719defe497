"""Calls with a bound on their whole duration."""

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
    loop = asyncio.get_running_loop()
    done: asyncio.Future[HttpResponse | CallFailure] = loop.create_future()

    def settle(outcome: HttpResponse | CallFailure) -> None:
        if not done.done():
            done.set_result(outcome)

    call = submit_timed(pool, address, request, timeout_ms, settle, settle)
    try:
        return await done
    except asyncio.CancelledError:
        call.cancel()
        raise
