"""A stand-in for an instance that responds to operator commands."""

from __future__ import annotations

import json
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import ssl

# Used by these tests only; it is valid for 127.0.0.1.
CERTIFICATE = Path(__file__).parent / 'certificates' / 'loopback.pem'


class ReceivedCommand(NamedTuple):
    """A command that the stand-in received."""

    path: str
    token: str
    document: dict


class OperatorStandIn:
    """Sends the response that a test has set to every command."""

    def __init__(self) -> None:
        self.received: list[ReceivedCommand] = []
        self.response: tuple[int, int, object] = (200, 0, {})
        self.drops_responses = False
        self.port = 0

    def handle(self, handler: BaseHTTPRequestHandler) -> None:
        """Record a command and send the response, or close without one."""
        size = int(handler.headers['content-length'])
        body = handler.rfile.read(size)
        token = handler.headers.get('authorization', '')
        self.received.append(ReceivedCommand(handler.path, token, json.loads(body)))
        if self.drops_responses:
            return
        status, code, document = self.response
        payload = json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header('x-result-code', str(code))
        handler.send_header('content-length', str(len(payload)))
        handler.end_headers()
        handler.wfile.write(payload)


@contextmanager
def serve_stand_in(tls: ssl.SSLContext | None):
    stand_in = OperatorStandIn()

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            stand_in.handle(self)

        def log_message(self, *arguments: object) -> None:
            pass

    server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    stand_in.port = server.server_address[1]
    if tls is not None:
        server.socket = tls.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield stand_in
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
