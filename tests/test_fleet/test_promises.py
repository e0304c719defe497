"""Tests of statuses that promise 'not run', over sockets."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

import pytest
from fleet_fixture import make_configuration, run_fleet
from test_explaining import log_file

from savorychute.explain.log_reader import read_logs
from savorychute.explain.request_history import describe_request
from savorychute.testing.stand_in_http import LOOPBACK
from savorychute.testing.virtual_loop import run_virtual

TEST_S = 60
# A run that cannot know what earlier ones have spent sends no retry for a window.
FIRST_WINDOW_S = 12.0
PROMISES = (408, 429, 503)
UNKNOWN = 502
SMALL_BYTES, LARGE_BYTES = 10, 300_000
PROOF = 'server-signature: s\r\n'
# By path: how many endpoints a request that fails may run on.
EXECUTIONS = {'/p/1': 1, '/n/1': 1, '/a/1': 2, '/s/1': 2}


class FailingEndpoint:
    """Runs each request and responds with one status, which states nothing about it."""

    def __init__(self, status, proof, body_bytes):
        self.runs = []
        self._head = f'HTTP/1.1 {status} X\r\n{proof}content-length: {body_bytes}\r\n'
        self._body = b'x' * body_bytes

    async def serve(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                if head.startswith(b'GET /-/report'):
                    writer.write(
                        b'HTTP/1.1 200 X\r\ncontent-length: 36\r\n\r\n'
                        b'{"waiting":0,"running":0,"runs":[] }'
                    )
                    continue
                lines = head.split(b'\r\n')
                attempt = next(each for each in lines if each.startswith(b'attempt-id'))
                self.runs.append(attempt)
                head_bytes = self._head.encode() + attempt + b'\r\n\r\n'
                writer.write(head_bytes + self._body)
                await writer.drain()
        writer.close()


def make_routes():
    """Return the usual routes and one for streams that cannot be resumed."""
    routes = json.loads(make_configuration())['routes']
    stream = next(route for route in routes if route['name'] == 's')
    other = stream | {'name': 'n', 'pathPrefix': '/n/', 'resumable': False}
    return [*routes, other]


def play(path, status, proof, body_bytes):
    """Return the response to a request, and the endpoint under all names."""

    async def main():
        async with (
            asyncio.timeout(TEST_S),
            run_fleet(plain_endpoints=2, engines=2) as fleet,
        ):
            endpoint = FailingEndpoint(status, proof, body_bytes)
            server = await asyncio.start_server(endpoint.serve, LOOPBACK, 0)
            for stand_in in fleet.endpoints.values():
                stand_in.port = server.sockets[0].getsockname()[1]
            fleet.write_entries(sequence=2)
            fleet.write_configuration(version=2, routes=make_routes())
            await asyncio.sleep(FIRST_WINDOW_S)
            try:
                return await fleet.call(path=path), endpoint
            finally:
                server.close()

    return run_virtual(main())


@pytest.mark.parametrize('body_bytes', [SMALL_BYTES, LARGE_BYTES])
@pytest.mark.parametrize('proof', ['', PROOF], ids=['bare', 'proven'])
@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', EXECUTIONS)
def test_no_caller_is_promised_that_a_request_that_ran_did_not(
    path, status, proof, body_bytes
):
    """Guards against requests that are sent again after they have run."""
    response, endpoint = play(path, status, proof, body_bytes)

    assert len(endpoint.runs) == EXECUTIONS[path]
    assert response.status == UNKNOWN
    assert 'server-signature' not in response.headers
    assert len(response.body) != body_bytes


@pytest.mark.parametrize('body_bytes', [SMALL_BYTES, LARGE_BYTES])
@pytest.mark.parametrize('status', [500, 502, 504])
def test_other_failures_keep_their_proof(status, body_bytes):
    """Guards against failures that reach callers under another status or without proof."""
    response, endpoint = play('/p/1', status, PROOF, body_bytes)

    assert len(endpoint.runs) == 1
    assert response.status == status
    assert response.headers['server-signature'] == 's'
    assert response.body == b'x' * body_bytes


def test_replaced_status_is_explained(tmp_path):
    """Guards against operators who cannot tell which status a caller did not get."""
    path = tmp_path / 'log'
    with log_file(path):
        _, endpoint = play('/a/1', 503, PROOF, SMALL_BYTES)
    request_id = endpoint.runs[-1].decode().partition(': ')[2]
    story = '\n'.join(describe_request(request_id, read_logs([path])))

    assert story.count('failed (503)') == 2
    assert 'outcome-unknown-503 with status 502' in story
