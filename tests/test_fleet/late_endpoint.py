"""An endpoint that sends further responses where the next ones are expected."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from savorychute.testing.stand_in_http import LOOPBACK

WORK_S = 0.05
REPORT_S = 0.004
HEAD_END = b'\r\n\r\n'
IDLE_LOAD = {'waiting': 0, 'running': 0, 'runs': []}


def encode(status, headers=(), body=b''):
    """Return a response as bytes."""
    lines = [f'HTTP/1.1 {status} X', 'keep-alive: timeout=5']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'content-length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class LateEndpoint:
    """Runs each request, and precedes some responses by others that name nothing.

    An extra response is never the first one of its connection.
    """

    def __init__(self):
        # The ids of the requests that it ran.
        self.runs = []
        self.received = []
        # Extra responses to attempts and to requests for reports; None for none.
        self.extra = None
        self.extra_report = None
        self.extras_sent = 0
        self.report_s = REPORT_S
        self.load = IDLE_LOAD
        # Each of so many requests is refused; 0 for none.
        self.refusal_interval = 0
        self.names_refusals = True
        self.names_successes = True
        self.connections = 0
        self.stated_headers = ()
        self._server = None

    async def start(self):
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        calls = 0
        with suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while head := await reader.readuntil(HEAD_END):
                lines = head.decode().split('\r\n')
                headers = dict(line.split(': ', 1) for line in lines[1:] if line)
                await reader.readexactly(int(headers.get('content-length', 0)))
                handle = self._report if '/-/report' in lines[0] else self._run
                await handle(writer, headers, calls)
                calls += 1
        writer.close()

    def _send_extra(self, writer, extra):
        self.extras_sent += 1
        writer.write(extra)

    async def _report(self, writer, headers, calls):  # noqa: ARG002
        if self.extra_report is not None and calls:
            self._send_extra(writer, self.extra_report)
        if self.report_s:
            await asyncio.sleep(self.report_s)
        writer.write(encode(200, self.stated_headers, json.dumps(self.load).encode()))

    async def _run(self, writer, headers, calls):
        request_id = headers['attempt-id']
        named = (('attempt-id', request_id),)
        self.received.append(request_id)
        if self.extra is not None and calls:
            self._send_extra(writer, self.extra)
        interval = self.refusal_interval
        if interval and len(self.received) % interval == 0:
            refusal = (*self.stated_headers, ('not-executed', '1'))
            writer.write(encode(503, (*refusal, *(named * self.names_refusals))))
            return
        self.runs.append(request_id)
        await asyncio.sleep(WORK_S)
        body = f'id: 1\ndata: {request_id}\n\n'.encode()
        proof = [('server-signature', 's'), ('content-type', 'text/event-stream')]
        proof += [*self.stated_headers, *(named * self.names_successes)]
        writer.write(encode(200, proof, body))
