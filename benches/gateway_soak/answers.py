"""Endpoints that delimit, repeat and end their responses in unusual ways."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from benches.gateway_soak.site import Site
    from savorychute.http.server_exchange import ServerExchange

# Servers that state it get their connections used again.
KEEP_ALIVE = (('keep-alive', 'timeout=5'),)
PIECE = b'x' * 65_536
PIECE_INTERVAL_S = 0.002
CHANGE_INTERVAL_S = 0.5
# Shares of the responses of a faulty endpoint.
REPEATED_SHARE = 0.5
ENDLESS_SHARE = 0.02
# How often an endpoint is faulty, sends without a length, or refuses some requests.
FAULTY_SHARE = 0.3
BARE_SHARE = 0.5
FULL_SHARE = 0.4


class AnswerFaults:
    """Lets endpoints send without a length, a second time, and without an end.

    :param site: the gateways and endpoints.
    :param rng: random numbers for all choices.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng

    async def run(self) -> None:
        """Change what endpoints do until the task is cancelled."""
        try:
            while True:
                self._change()
                await asyncio.sleep(CHANGE_INTERVAL_S * self._rng.uniform(0.5, 1.5))
        finally:
            for endpoint in self._site.endpoints:
                endpoint.repeated_share = endpoint.endless_share = 0.0
                endpoint.refused_share = 0.0

    def _change(self) -> None:
        for endpoint in self._site.endpoints:
            is_faulty = self._rng.random() < FAULTY_SHARE
            endpoint.repeated_share = REPEATED_SHARE * is_faulty
            endpoint.endless_share = ENDLESS_SHARE * is_faulty
            endpoint.refused_share = FULL_SHARE * (self._rng.random() < FAULTY_SHARE)
            endpoint.has_chunks = self._rng.random() >= BARE_SHARE
            endpoint.stated_headers = KEEP_ALIVE


class LateResponses:
    """Sends responses of some connections again, where the next one is expected."""

    def __init__(self) -> None:
        self._due: dict[object, bytes] = {}

    def keep(self, exchange: ServerExchange, response: bytes) -> None:
        """Send a response again with the next one on the connection.

        :param exchange: the request that it responds to.
        :param response: the bytes of the response.
        """
        self._due[_transport(exchange)] = response

    def send_due(self, exchange: ServerExchange) -> bool:
        """Send what is due before the response to a request; return if it was sent.

        :param exchange: the request.
        """
        transport = _transport(exchange)
        response = self._due.pop(transport, b'')
        if not response or transport.is_closing():
            return False
        transport.write(response)
        return True


def encode(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes = b''
) -> bytes:
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X', *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join([*lines, f'content-length: {len(body)}', '', '']).encode() + body


async def send_without_end(exchange: ServerExchange) -> None:
    """Send until the connection is closed."""
    transport = _transport(exchange)
    while not transport.is_closing():
        if not transport.get_write_buffer_size():
            transport.write(PIECE)
        await asyncio.sleep(PIECE_INTERVAL_S)


def _transport(exchange: ServerExchange) -> asyncio.Transport:
    return exchange._connection._transport
