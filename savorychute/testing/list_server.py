"""HTTP server of a stand-in list of instances."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from savorychute.member_address import MemberAddress
from savorychute.testing.stand_in_http import LOOPBACK, loop_ms, respond_json, serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorychute.http.server_exchange import ServerExchange
    from savorychute.testing.instance_list import InstanceList

LIST_PATH = '/instances'
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class ListServer:
    """Serves an :class:`InstanceList` over HTTP.

    ``PUT /instances/<name>`` adds an instance, ``DELETE`` removes it, and
    ``POST /instances/<name>/leaving`` marks an instance or endpoint as leaving.

    :param instances: the list.
    """

    def __init__(self, instances: InstanceList) -> None:
        self.instances = instances
        self.port = 0

    def handle(self, exchange: ServerExchange) -> None:
        """Handle one HTTP request."""
        path = exchange.request.target
        if not self.instances.is_up:
            respond_json(exchange, STATUS_UNAVAILABLE, {'error': 'down'})
        elif path == LIST_PATH:
            self._list(exchange)
        elif path.startswith(f'{LIST_PATH}/'):
            self._change(exchange, path.removeprefix(f'{LIST_PATH}/'))
        else:
            respond_json(exchange, STATUS_NOT_FOUND, {'error': 'no such path'})

    def _list(self, exchange: ServerExchange) -> None:
        listing = self.instances.fetch(loop_ms())
        if listing is None:
            return
        document = {
            'live': [address._asdict() for address in listing.live],
            'leaving': sorted(listing.leaving),
        }
        respond_json(exchange, STATUS_OK, document)

    def _change(self, exchange: ServerExchange, rest: str) -> None:
        name, _, verb = rest.partition('/')
        if verb == 'leaving':
            self.instances.mark_leaving(name, loop_ms())
        elif exchange.request.method == 'DELETE':
            self.instances.delete(name, loop_ms())
        else:
            try:
                entry = msgspec.json.decode(exchange.request.body, type=dict)
                self.instances.put(MemberAddress(**entry), loop_ms())
            except (msgspec.DecodeError, TypeError) as error:
                respond_json(exchange, STATUS_BAD_REQUEST, {'error': str(error)})
                return
        respond_json(exchange, STATUS_OK, {'outcome': 'done'})


@asynccontextmanager
async def serve_list(
    instances: InstanceList, host: str = LOOPBACK, port: int = 0
) -> AsyncIterator[ListServer]:
    """Serve a list until the block ends.

    :param instances: the list.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    stand_in = ListServer(instances)
    async with serve(stand_in.handle, host, port) as http:
        stand_in.port = http.port
        yield stand_in
