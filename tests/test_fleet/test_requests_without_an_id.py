"""Tests of requests whose id does not reach their endpoint, over sockets."""

from __future__ import annotations

import pytest
from fleet_fixture import CALL_TIMEOUT_MS, KEY
from late_endpoint import LateEndpoint, encode
from test_unnamed_responses import IDEMPOTENT, UNSAFE, call_in_series, run_late_fleet

from savorychute.http.client_pool import ServerAddress
from savorychute.http.http_request import HttpRequest
from savorychute.http.timed_call import fetch
from savorychute.testing.virtual_loop import run_virtual

CALLS = 12
# Other connections to the two endpoints may have been idle for too long.
MAX_NEW_CONNECTIONS = 2
HOP_BY_HOP_ID = (('attempt-id', 'q1'), ('connection', 'attempt-id'))


class EchoingEndpoint(LateEndpoint):
    """Names the request in its response if the request has an id."""

    async def _run(self, writer, headers, calls):  # noqa: ARG002
        named = [(name, headers[name]) for name in ('attempt-id',) if name in headers]
        self.runs.append(headers.get('attempt-id'))
        writer.write(encode(200, [('server-signature', 's'), *named], b'x'))


async def call_with_headers(fleet, headers, path, method, body=b''):
    address = ServerAddress(*fleet.gateways[0].settings.caller_address)
    headers = (
        ('host', 'desk.example'),
        ('deadline-ms', '5000'),
        ('authorization', f'Bearer {KEY}'),
        *headers,
    )
    request = HttpRequest(method, path, headers, body)
    return await fetch(fleet._pool, address, request, CALL_TIMEOUT_MS)


def play(headers, call):
    """Return a status, the connections of later requests, and what was run."""

    async def main():
        async with run_late_fleet(EchoingEndpoint) as (fleet, endpoints):
            await call_in_series(fleet, CALLS, **call)
            response = await call_with_headers(fleet, headers, **call)
            before = sum(each.connections for each in endpoints.values())
            later = await call_in_series(fleet, CALLS, **call)
            assert {each.status for each in later.values()} == {200}
            after = sum(each.connections for each in endpoints.values())
            runs = [run for each in endpoints.values() for run in each.runs]
            return response.status, after - before, runs

    return run_virtual(main())


@pytest.mark.parametrize('call', [IDEMPOTENT, UNSAFE], ids=['get', 'post'])
def test_request_without_an_id_costs_others_no_connections(call):
    """Guards against one caller that ends the reuse of connections for all."""
    status, connections, runs = play((), call)

    assert status == 200
    assert None in runs
    assert connections <= MAX_NEW_CONNECTIONS


@pytest.mark.parametrize('call', [IDEMPOTENT, UNSAFE], ids=['get', 'post'])
def test_id_reaches_the_endpoint_whatever_the_caller_calls_hop_by_hop(call):
    """Guards against lost answers, and sound endpoints that are taken for faulty."""
    status, connections, runs = play(HOP_BY_HOP_ID, call)

    assert status == 200
    assert 'q1' in runs
    assert None not in runs
    assert connections <= MAX_NEW_CONNECTIONS
