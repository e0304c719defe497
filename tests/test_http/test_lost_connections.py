"""Tests of responses to callers that have reset their connection."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct

from savorychute.testing.stand_in_http import LOOPBACK, serve

TEST_TIMEOUT_S = 30
# More than asyncio accepts on a lost connection without a warning.
EVENT_COUNT = 20
REQUEST = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def test_no_events_are_written_after_the_connection_is_lost(caplog):
    """Guards against a warning for each event to a caller that has left.

    Events that arrive together are written one by one before the loop reports that the
    caller has reset the connection.
    """

    async def main():
        exchanges = asyncio.Queue()
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            serve(exchanges.put_nowait, LOOPBACK, 0) as server,
        ):
            caller = socket.create_connection((LOOPBACK, server.port))
            caller.sendall(REQUEST)
            exchange = await exchanges.get()
            exchange.start(200, [])
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.close()
            for number in range(EVENT_COUNT):
                exchange.send(b'event %d' % number)

    with caplog.at_level(logging.WARNING, 'asyncio'):
        asyncio.run(main())

    assert caplog.records == []
