"""Cost of a connection to an endpoint: direct, by the chosen path, by a tunnel."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row
from savorychute.clock import SystemClock
from savorychute.gateway.daemon.path_connector import PathConnector
from savorychute.gateway.daemon.tunnel_server import TunnelServer, open_tunnel_server
from savorychute.gateway.paths.path_table import PathTable
from savorychute.gateway.paths.relay_table import RelayTable
from savorychute.gateway.paths.tunnel_offer import TunnelOffer, TunnelState
from savorychute.gateway.paths.tunnel_request import TunnelRequest
from savorychute.http.client_connection import ClientConnection
from savorychute.http.client_pool import ServerAddress
from savorychute.http.connector import DirectConnector
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView
from savorychute.wire.peer_codec import PeerCodec
from savorychute.wire.peer_key import PeerKey
from savorychute.wire.peer_keys import PeerKeys

if TYPE_CHECKING:
    import random

    from savorychute.http.connector import Connector

LOOPBACK = '127.0.0.1'
CONNECTIONS = 300
CONNECT_TIMEOUT_MS = 400
NS_PER_US = 1_000
KEYS = PeerKeys(PeerKey(1, b'k' * 32))


class _AnyEndpoint:
    """Accepts every address as that of an endpoint."""

    def accepts_requests_at(self, address: ServerAddress) -> bool:
        del address
        return True


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Return the processor time of one connection, both ends, and a frame's size.

    :param repeats: number of rounds, of which the fastest is returned.
    :param rng: chooses relays.
    """
    costs = [asyncio.run(_measure_all(rng)) for _ in range(repeats)]
    direct_us = min(cost['direct'] for cost in costs)
    frame = PeerCodec('edge-1', 1, KEYS).encode('edge-2', TunnelRequest('10.1.0.1', 80))
    return [
        make_row(
            'connection, path chosen', min(c['path'] for c in costs), 'us', direct_us
        ),
        make_row(
            'connection, tunnel', min(c['tunnel'] for c in costs), 'us', direct_us
        ),
        make_row('request for a tunnel', len(frame), 'B', 0),
    ]


async def _measure_all(rng: random.Random) -> dict[str, float]:
    clock = SystemClock()
    loop = asyncio.get_running_loop()
    endpoint = await loop.create_server(asyncio.Protocol, LOOPBACK, 0)
    address = ServerAddress(*endpoint.sockets[0].getsockname()[:2])
    server = TunnelServer(_AnyEndpoint(), PathTable(), clock)
    server.decode = PeerCodec('edge-2', 1, KEYS).decode
    async with endpoint, open_tunnel_server(server, LOOPBACK, 0):
        relays = _make_relays(server.port, rng, clock)
        costs = {'direct': await _measure_us(DirectConnector(), address)}
        for name in ('path', 'tunnel'):
            paths = PathTable()
            if name == 'tunnel':
                paths.record_bypassed(address, clock.now_ms(), hung=False)
            connector = PathConnector(paths, relays, clock, CONNECT_TIMEOUT_MS)
            connector.encode = PeerCodec('edge-1', 1, KEYS).encode
            costs[name] = await _measure_us(connector, address)
    return costs


def _make_relays(port: int, rng: random.Random, clock: SystemClock) -> RelayTable:
    own = MemberAddress('edge-1', 1, 'kerala', 'kochi', LOOPBACK, 1, 2)
    relay = own._replace(instance='edge-2')
    relays = RelayTable('kochi', rng)
    relays.set_view(MemberView(own, (own, relay)))
    offer = TunnelOffer(TunnelState.OFFERED, port)
    relays.record_offer(relay, offer, clock.now_ms())
    return relays


async def _measure_us(connector: Connector, address: ServerAddress) -> float:
    start_ns = time.process_time_ns()
    for _ in range(CONNECTIONS):
        connection = await connector.open(address, _make_connection)
        connection.abort()
    return (time.process_time_ns() - start_ns) / CONNECTIONS / NS_PER_US


def _make_connection() -> ClientConnection:
    return ClientConnection('endpoint', lambda _: None, lambda _: None)
