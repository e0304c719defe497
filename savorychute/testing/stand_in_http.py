"""Common parts of the HTTP servers of the stand-ins."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from savorychute.clock import SystemClock
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_server import HttpServer, listen

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.http.server_exchange import ServerExchange

JSON_HEADERS = (('content-type', 'application/json'),)
ATTEMPT_ID_HEADER = 'x-attempt-id'
LOOPBACK = '127.0.0.1'
MS_PER_S = 1_000.0


def respond_json(exchange: ServerExchange, status: int, document: object) -> None:
    """Respond with a JSON document."""
    headers = [*JSON_HEADERS, *echo_id(exchange)]
    exchange.respond(status, headers, msgspec.json.encode(document))


def echo_id(exchange: ServerExchange) -> list[tuple[str, str]]:
    """Return the headers that name the request of a response, if it has an id."""
    attempt_id = exchange.request.header(ATTEMPT_ID_HEADER)
    return [(ATTEMPT_ID_HEADER, attempt_id)] if attempt_id else []


def loop_ms() -> float:
    """Return the running loop's time in milliseconds."""
    return asyncio.get_running_loop().time() * MS_PER_S


@asynccontextmanager
async def serve(
    on_request: Callable[[ServerExchange], None], host: str, port: int
) -> AsyncIterator[HttpServer]:
    """Pass requests to a stand-in until the block ends.

    :param on_request: called with each complete request.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    server = HttpServer(HttpLimits(), SystemClock(), on_request)
    async with listen(server, host, port):
        yield server
