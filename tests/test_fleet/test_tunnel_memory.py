"""Tests of the memory that tunnels take."""

from __future__ import annotations

import asyncio

from savorychute.gateway.daemon.tunnel_side import (
    BUFFER_BYTES,
    PART_BYTES,
    TunnelSide,
)

SENT_BYTES = 16_000_000
LOOPBACK = '127.0.0.1'


def test_tunnel_to_a_side_that_reads_nothing_holds_little():
    """Guards against bodies that pass through tunnels to slow endpoints."""

    async def main():
        loop = asyncio.get_running_loop()
        sides = []

        def make_side():
            sides.append(TunnelSide())
            return sides[-1]

        server = await loop.create_server(make_side, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        _, slow = await asyncio.open_connection(LOOPBACK, port, limit=1)
        _, fast = await asyncio.open_connection(LOOPBACK, port)
        while len(sides) < 2 or not all(each.is_open for each in sides):
            await asyncio.sleep(0.01)
        sides[0].other, sides[1].other = sides[1], sides[0]
        fast.write(bytes(SENT_BYTES))
        passed_bytes = -1
        while passed_bytes != sides[0].passed_bytes:
            passed_bytes = sides[0].passed_bytes
            await asyncio.sleep(0.2)
        held_bytes = sides[0]._transport.get_write_buffer_size()
        for writer in (slow, fast):
            writer.transport.abort()
        server.close()
        return passed_bytes, held_bytes

    passed_bytes, held_bytes = asyncio.run(main())
    assert 0 < passed_bytes < SENT_BYTES
    assert held_bytes <= BUFFER_BYTES + PART_BYTES
