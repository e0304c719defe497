"""Tests of responses to other requests, and of ones that no instance sent."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from contextlib import suppress
from random import Random

import pytest
from client_fixture import CHAT, SERVICE_CALL, FakeInstance, respond, run

from savorychute.client import CallError, ClientSettings, open_client
from savorychute.http.client_pool import ServerAddress
from savorychute.http.error_response import encode_error, error_headers
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

CALLS = 8
REFUSED = ResultCode.WITNESS_UNAVAILABLE
RESULT = [('x-result-code', '0'), ('x-ran', 'ran')]


class LateInstance:
    """Sends an extra response when a further request on a connection has been read.

    :param extra: the extra response.
    """

    def __init__(self, extra):
        self.extra = extra
        self.runs = Counter()
        self.used_keys = set()
        self.keys = 0
        self.connections = 0

    async def handle(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        is_first = True
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
                body = await reader.readexactly(
                    int(read_header(head, 'content-length'))
                )
                self.used_keys.add(read_header(head, 'x-request-key'))
                if not is_first:
                    writer.write(self.extra)
                    await writer.drain()
                is_first = False
                writer.write(self._answer(head.split()[1], body))
                await writer.drain()
        writer.close()

    def _answer(self, target, body):
        if target == '/v1/instances':
            return make_response(200, RESULT, b'{"instances":[],"lifetime_ms":60000}')
        if target == '/v1/keys':
            self.keys += 1
            document = json.dumps({'key': f'k{self.keys}'}).encode()
            return make_response(200, RESULT, document)
        self.runs[body] += 1
        return make_response(200, RESULT, body)


def read_header(head, name):
    return head.partition(f'{name}: ')[2].partition('\r\n')[0] or '0'


def make_response(status, headers, body):
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join([*lines, '', '']).encode() + body


EXTRAS = {
    'refusal': make_response(
        503,
        error_headers(REFUSED, Ran.NOT_RUN, 10),
        encode_error(REFUSED, Ran.NOT_RUN, ''),
    ),
    'final_refusal': make_response(
        409,
        error_headers(ResultCode.KEY_REUSED, Ran.NOT_RUN),
        encode_error(ResultCode.KEY_REUSED, Ran.NOT_RUN, ''),
    ),
    'copy': make_response(200, RESULT, b'{"key":"k1"}'),
}


async def call_each(client):
    """Return what each call's caller was told, by the body of the call."""
    told = {}
    for number in range(CALLS):
        body = b'{"visit":%d}' % number
        try:
            answer = await client.call_service(SERVICE_CALL._replace(body=body))
        except CallError as error:
            told[body] = error.ran
        else:
            told[body] = answer.body
    return told


async def run_late(instance):
    server = await asyncio.start_server(instance.handle, '127.0.0.1', 0)
    async with server:
        seed = ServerAddress('127.0.0.1', server.sockets[0].getsockname()[1])
        settings = ClientSettings((seed,), 'secret', max_backoff_ms=20)
        async with open_client(settings, rng=Random(1)) as client:
            return await call_each(client)


@pytest.mark.parametrize('extra', EXTRAS)
def test_response_to_another_call_is_not_taken_for_the_next_one(extra):
    """Guards against a second run, a false 'not run' and another call's answer."""
    instance = LateInstance(EXTRAS[extra])
    told = asyncio.run(run_late(instance))

    assert max(instance.runs.values()) == 1
    assert told == {body: body for body in instance.runs}
    assert len(told) == CALLS
    # The calls for keys and addresses bear no key.
    assert len(instance.used_keys) == CALLS + 1


def test_failure_that_no_instance_sent_does_not_end_a_call():
    """Guards against an answer of an intermediary that passes for the endpoint's."""

    def fail(exchange):
        exchange.respond(503, [('retry-after', '1')], b'try again')

    instance = FakeInstance('i1', [fail, respond])
    answer = run(lambda client: client.complete(CHAT), instance)

    assert (answer.status, answer.body) == (200, b'answer')


def test_failure_that_no_instance_sent_promises_nothing():
    """Guards against a second run of a request that an intermediary refused."""

    def fail(exchange):
        exchange.respond(503, [('retry-after', '1')], b'try again')

    instance = FakeInstance('i1', [fail])
    with pytest.raises(CallError) as raised:
        run(lambda client: client.call_service(SERVICE_CALL), instance)

    assert raised.value.ran is Ran.UNKNOWN
    assert len({each.header('x-request-key') for each in instance.requests}) == 1
