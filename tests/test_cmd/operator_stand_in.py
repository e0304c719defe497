"""A stand-in for an instance that answers operators."""

from __future__ import annotations

import json
import threading
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import ssl

# For these tests alone; its one name is 127.0.0.1.
CERTIFICATE = Path(__file__).parent / 'certificates' / 'loopback.pem'


class Received(NamedTuple):
    """One command as the stand-in got it."""

    path: str
    token: str
    document: dict


class OperatorStandIn:
    """Answers every command with what a test sets."""

    def __init__(self) -> None:
        self.received: list[Received] = []
        self.answer: tuple[int, int, object] = (200, 0, {})
        self.drops_answers = False
        self.port = 0

    def handle(self, handler: BaseHTTPRequestHandler) -> None:
        """Note one command and answer it, or close without an answer."""
        size = int(handler.headers['content-length'])
        body = handler.rfile.read(size)
        token = handler.headers.get('authorization', '')
        self.received.append(Received(handler.path, token, json.loads(body)))
        if self.drops_answers:
            return
        status, code, document = self.answer
        payload = json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header('x-result-code', str(code))
        handler.send_header('content-length', str(len(payload)))
        handler.end_headers()
        handler.wfile.write(payload)


@contextmanager
def serve_stand_in(tls: ssl.SSLContext | None):
    double = OperatorStandIn()

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            double.handle(self)

        def log_message(self, *arguments: object) -> None:
            pass

    server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    double.port = server.server_address[1]
    if tls is not None:
        server.socket = tls.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield double
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
