"""Fake instances with scripted responses, and a client that calls them."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

from savorychute.client import (
    ChatCall,
    ClientSettings,
    ServiceCall,
    open_client,
)
from savorychute.clock import SystemClock
from savorychute.http.client_pool import ServerAddress
from savorychute.http.error_response import encode_error, error_headers
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_server import HttpServer, listen
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import ContinuationHandle
from savorychute.result_code import ResultCode

CHAT = ChatCall('m', ({'role': 'user', 'content': 'why?'},), 'diagnosis')
SERVICE_CALL = ServiceCall(
    'desk', 'POST', '/visits', 'visit-log', b'{}', idempotent=False
)
HANDLE = ContinuationHandle('engine', 's1', 0).encode()
TEXTS = ('air', ' lock', ' in', ' the', ' pump')


class FakeInstance:
    """Responds with the next function of its script; the last one repeats."""

    def __init__(self, name, script):
        self.name = name
        self.script = list(script)
        self.requests = []
        self.discoveries = 0
        self.keys = 0
        self.peers = []
        self.lifetime_ms = 60_000
        self.address = None

    def handle(self, exchange):
        """Respond to one request."""
        target = exchange.request.target
        if target == '/v1/instances':
            self.discoveries += 1
            document = {
                'instances': [peer.address._asdict() for peer in self.peers],
                'lifetime_ms': self.lifetime_ms,
            }
            exchange.respond(200, [], json.dumps(document).encode())
        elif target == '/v1/keys':
            self.keys += 1
            key = f'{self.name}-{self.keys}'
            exchange.respond(200, [], json.dumps({'key': key}).encode())
        else:
            self.requests.append(exchange.request)
            act = self.script.pop(0) if len(self.script) > 1 else self.script[0]
            act(exchange)


def respond(exchange):
    exchange.respond(200, [('x-result-code', '0'), ('x-ran', 'ran')], b'answer')


def refuse(code, ran=Ran.NOT_RUN, retry_after_ms=0):
    def act(exchange):
        headers = error_headers(code, ran, retry_after_ms)
        exchange.respond(code.status, headers, encode_error(code, ran, 'why'))

    return act


def truncate(exchange):
    exchange.start(200, [('x-result-code', '0'), ('content-length', '99')])
    exchange.send(b'half')
    asyncio.get_running_loop().call_later(0.01, exchange.abort)


def abort(exchange):
    exchange.abort()


def redirect_to(instance):
    def act(exchange):
        host, port = instance.address
        headers = error_headers(ResultCode.WRONG_INSTANCE, Ran.NOT_RUN)
        headers.append(('location', f'http://{host}:{port}{exchange.request.target}'))
        exchange.respond(307, headers, b'{}')

    return act


def stream(start, stop, end='done', handle=HANDLE):
    """Send the texts from *start* to *stop*, then end as *end* states."""

    def act(exchange):
        headers = [('x-result-code', '0'), ('content-type', 'text/event-stream')]
        if handle:
            headers.append(('x-continuation-handle', handle))
        exchange.start(200, headers)
        for offset in range(start, stop):
            chunk = {
                'choices': [{'index': 0, 'delta': {'content': TEXTS[offset]}}],
                'token_count': 1,
            }
            data = json.dumps(chunk).encode()
            exchange.send(b'id: %d\ndata: %b\n\n' % (offset, data))
        if end == 'done':
            exchange.send(b'data: [DONE]\n\n')
            exchange.finish()
        elif end == 'error':
            data = encode_error(ResultCode.ENDPOINT_FAILED, Ran.UNKNOWN, 'crashed')
            exchange.send(b'event: error\ndata: %b\n\n' % data)
            exchange.finish()
        elif end == 'silent-end':
            exchange.finish()
        else:
            asyncio.get_running_loop().call_later(0.01, exchange.abort)

    return act


@asynccontextmanager
async def run_instances(instances):
    async with AsyncExitStack() as stack:
        for instance in instances:
            instance.peers = list(instances)
            server = HttpServer(HttpLimits(), SystemClock(), instance.handle)
            await stack.enter_async_context(listen(server, '127.0.0.1', 0))
            instance.address = ServerAddress('127.0.0.1', server.port)
        yield


def run(act, *instances, clock=None, **changes):
    """Run *act* with a client whose only seed is the first instance."""

    async def main():
        async with run_instances(instances):
            seeds = (instances[0].address,)
            settings = ClientSettings(seeds, 'secret', max_backoff_ms=20)
            settings = settings._replace(**changes)
            async with open_client(settings, clock=clock, rng=Random(1)) as client:
                return await act(client)

    return asyncio.run(main())


async def read_text(client, call=CHAT):
    return ''.join([tokens.text async for tokens in client.stream(call)])
