"""HTTP server of a stand-in log service."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from savorychute.testing.stand_in_http import (
    LOOPBACK,
    MS_PER_S,
    loop_ms,
    respond_json,
    serve,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from savorychute.http.server_exchange import ServerExchange
    from savorychute.testing.append_log import AppendLog

STREAMS_PREFIX = '/streams/'
RECORDS_SUFFIX = '/records'
DEFAULT_READ_RECORDS = '1000'
STATUS_OK = 200
STATUS_CREATED = 201
STATUS_NOT_FOUND = 404
STATUS_LIMITED = 429
STATUS_UNAVAILABLE = 503


class LogServer:
    """Serves an :class:`AppendLog` over HTTP.

    :param log: the log.
    """

    def __init__(self, log: AppendLog) -> None:
        self.log = log
        self.port = 0

    def handle(self, exchange: ServerExchange) -> None:
        """Handle one HTTP request and respond after the delay of the log."""
        url = urlsplit(exchange.request.target)
        stream = url.path.removeprefix(STREAMS_PREFIX).removesuffix(RECORDS_SUFFIX)
        if not url.path.startswith(STREAMS_PREFIX) or not stream:
            respond_json(exchange, STATUS_NOT_FOUND, {'error': 'no such path'})
            return
        if exchange.request.method == 'POST':
            self._append(exchange, stream)
        else:
            self._read(exchange, stream, url.query)

    def _append(self, exchange: ServerExchange, stream: str) -> None:
        result = self.log.append(stream, exchange.request.body, loop_ms())
        if result.outcome == 'lost':
            self._respond_later(exchange.abort)
        elif result.outcome == 'appended':
            self._respond(exchange, STATUS_CREATED, {'offset': result.offset})
        elif result.outcome == 'limited':
            self._respond(exchange, STATUS_LIMITED, {'error': 'rate'})
        else:
            self._respond(exchange, STATUS_UNAVAILABLE, {'error': 'down'})

    def _read(self, exchange: ServerExchange, stream: str, query: str) -> None:
        parameters = parse_qs(query)
        from_offset = int(parameters.get('from', ['0'])[0])
        max_records = int(parameters.get('max', [DEFAULT_READ_RECORDS])[0])
        result = self.log.read(stream, from_offset, max_records, loop_ms())
        if result is None:
            self._respond(exchange, STATUS_UNAVAILABLE, {'error': 'down'})
            return
        records = [
            {
                'offset': record.offset,
                'payload_base64': b64encode(record.payload).decode('ascii'),
            }
            for record in result.records
        ]
        document = {
            'first_offset': result.first_offset,
            'end_offset': result.end_offset,
            'records': records,
        }
        self._respond(exchange, STATUS_OK, document)

    def _respond(self, exchange: ServerExchange, status: int, document: object) -> None:
        self._respond_later(lambda: respond_json(exchange, status, document))

    def _respond_later(self, action: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.log.delay_ms / MS_PER_S, action)


@asynccontextmanager
async def serve_log(
    log: AppendLog, host: str = LOOPBACK, port: int = 0
) -> AsyncIterator[LogServer]:
    """Serve a log until the block ends.

    :param log: the log.
    :param host: the IP address to listen on.
    :param port: the port, or 0 to let the system choose one.
    """
    stand_in = LogServer(log)
    async with serve(stand_in.handle, host, port) as http:
        stand_in.port = http.port
        yield stand_in
