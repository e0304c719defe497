"""Tests of late extra responses that name no request, over sockets."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from fleet_fixture import make_configuration, run_fleet
from late_endpoint import LateEndpoint, encode

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 120
# A run that cannot know what earlier ones have spent sends no retry for a window.
FIRST_WINDOW_S = 12.0
# Requests that may not run twice use only connections that were in use a moment ago.
PAUSE_S = 0.02
CALLS = 12
# Longer than an endpoint is blocked that has sent wrong bytes.
BLOCK_S = 6.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_RUN = (('not-executed', '1'),)
PROOF = (('server-signature', 's'),)
# What an endpoint may state about itself, to the harm of all that use it.
STATEMENTS = (('server-limit', '0.1'), ('server-leaving', '1'), ('retry-after', '60'))
EXTRAS = {
    'full': encode(503, NOT_RUN),
    'unavailable': encode(503),
    'misdirected': encode(421),
    'limited': encode(429),
    'limited-not-run': encode(429, NOT_RUN),
    'late-body': encode(408),
    'bad-not-run': encode(400, NOT_RUN),
    'answer': encode(200, PROOF, b'id: 1\ndata: another\n\n'),
    'event-stream': encode(
        200, (*PROOF, ('content-type', 'text/event-stream')), b'id: 1\ndata: other\n\n'
    ),
}
UNSAFE = {'path': '/p/1', 'method': 'POST', 'body': b'x'}
IDEMPOTENT = {'path': '/a/1', 'method': 'GET'}
PROMPT = (('token-count', '9000,20'), ('prefix-hash', 'aa:9000'))
STREAM = {'path': '/s/1', 'method': 'POST', 'body': b'x'}
# Its engine is asked for its load first, on the same connection.
STREAM_AFTER_REPORT = STREAM | {'extra': PROMPT}
CALL_KINDS = {
    'unsafe': UNSAFE,
    'idempotent': IDEMPOTENT,
    'stream': STREAM,
    'after-report': STREAM_AFTER_REPORT,
}


def write_routes(fleet):
    """Let no stream be resumed."""
    routes = json.loads(make_configuration())['routes']
    routes[2]['resumable'] = False
    fleet.write_configuration(2, routes=routes)


@asynccontextmanager
async def run_late_fleet(make_endpoint=LateEndpoint):
    """Run a fleet whose two services and two engines are late endpoints."""
    running = run_fleet(plain_endpoints=2, engines=2)
    async with asyncio.timeout(TEST_S), running as fleet:
        endpoints = {name: make_endpoint() for name in fleet.endpoints}
        for name, endpoint in endpoints.items():
            fleet.endpoints[name].port = await endpoint.start()
        fleet.write_entries(sequence=2)
        write_routes(fleet)
        await asyncio.sleep(FIRST_WINDOW_S)
        try:
            yield fleet, endpoints
        finally:
            for endpoint in endpoints.values():
                endpoint.close()


async def call_in_series(fleet, calls, pause_s=PAUSE_S, **call):
    """Return the responses of requests by their id."""
    responses = {}
    for _ in range(calls):
        response = await fleet.call(**call)
        responses[fleet.last_attempt_id] = response
        await asyncio.sleep(pause_s)
    return responses


def find_runs(endpoints):
    return [run for endpoint in endpoints.values() for run in endpoint.runs]


def parts_of(fleet):
    return fleet.gateways[0].host._parts


def set_extras(endpoints, extra):
    for endpoint in endpoints.values():
        endpoint.extra = extra


@pytest.mark.parametrize('kind', CALL_KINDS)
@pytest.mark.parametrize('extra', EXTRAS)
def test_late_response_without_an_id_is_not_believed(extra, kind):
    """Guards against statements and answers of other requests that bear no id."""

    async def main():
        async with run_late_fleet() as (fleet, endpoints):
            call = CALL_KINDS[kind]
            await call_in_series(fleet, 4, **call)
            set_extras(endpoints, EXTRAS[extra])
            responses = await call_in_series(fleet, CALLS, **call)
            sent = sum(each.extras_sent for each in endpoints.values())
            set_extras(endpoints, None)
            await asyncio.sleep(BLOCK_S)
            later = await call_in_series(fleet, 4, **call)
            return responses, later, find_runs(endpoints), sent

    responses, later, runs, sent = run_virtual(main())
    assert sent
    if kind != 'idempotent':
        assert len(set(runs)) == len(runs)
    for request_id, response in responses.items():
        assert response.status in (200, 502, 503)
        if response.status in NOT_RUN_STATUSES:
            assert request_id not in runs
        if response.status == 200:
            assert request_id in response.body.decode()
    # No endpoint counts as ended, leaving or resting.
    assert {response.status for response in later.values()} == {200}


@pytest.mark.parametrize('status', [200, 421, 429, 503])
@pytest.mark.parametrize('kind', ['idempotent', 'after-report'])
def test_late_response_without_an_id_states_nothing(status, kind):
    """Guards against limits, leaving and rest that another response has stated."""

    async def main():
        async with run_late_fleet() as (fleet, endpoints):
            await call_in_series(fleet, 4, **CALL_KINDS[kind])
            set_extras(endpoints, encode(status, (*PROOF, *STATEMENTS)))
            await call_in_series(fleet, CALLS, **CALL_KINDS[kind])
            return find_statements(fleet, endpoints)

    assert run_virtual(main()) == ([], [], [], [])


def find_statements(fleet, endpoints):
    """Return which endpoints count as limited, leaving, resting and ended."""
    parts = parts_of(fleet)
    statements, now_ms = parts.statements, parts.clock.now_ms()
    records = {name: parts.roster.get(name) for name in endpoints}
    runs = {name: record.entry.run for name, record in records.items() if record}
    return (
        [name for name, run in runs.items() if statements.limits.limit(run)],
        [name for name, run in runs.items() if run in statements.leaving],
        [
            name
            for name, run in runs.items()
            if statements.backoffs.remaining_ms(run, now_ms)
        ],
        [name for name in endpoints if name not in runs],
    )


LEAVING_LOAD = json.dumps({'state': 'draining'}).encode()
LATE_REPORTS = {
    'full': encode(503, STATEMENTS),
    'misdirected': encode(421, STATEMENTS),
    'statements': encode(200, STATEMENTS, b'{}'),
    'leaving': encode(200, (), LEAVING_LOAD),
    'another-run': encode(200, (), b'{"born":1700000000000}'),
}


@pytest.mark.parametrize('extra', LATE_REPORTS)
def test_late_report_states_nothing(extra):
    """Guards against statements that harm an endpoint, from a late load report."""

    async def main():
        async with run_late_fleet() as (fleet, endpoints):
            for name in ('e1', 'e2'):
                fleet.write_entry(name, sequence=3, born=1_600_000_000_000)
            await asyncio.sleep(BLOCK_S)
            await call_in_series(fleet, 4, **STREAM_AFTER_REPORT)
            for endpoint in endpoints.values():
                endpoint.extra_report = LATE_REPORTS[extra]
            await call_in_series(fleet, CALLS, **STREAM_AFTER_REPORT)
            sent = sum(each.extras_sent for each in endpoints.values())
            roster = parts_of(fleet).roster
            runs = {roster.get(name).entry.born_ms for name in ('e1', 'e2')}
            return sent, runs, find_statements(fleet, endpoints)

    sent, runs, statements = run_virtual(main())
    assert sent
    assert runs == {1_600_000_000_000}
    assert statements == ([], [], [], [])


def test_report_that_another_response_follows_is_not_taken():
    """Guards against choices by the load in a late report."""
    busy = json.dumps({'waiting': 999, 'running': 999}).encode()

    async def main():
        async with run_late_fleet() as (fleet, endpoints):
            await call_in_series(fleet, 4, **STREAM_AFTER_REPORT)
            for endpoint in endpoints.values():
                endpoint.extra_report, endpoint.report_s = encode(200, (), busy), 0.0
            await call_in_series(fleet, CALLS, **STREAM_AFTER_REPORT)
            roster = parts_of(fleet).roster
            loads = [roster.get(name).load for name in ('e1', 'e2')]
            sent = sum(each.extras_sent for each in endpoints.values())
            return sent, {load.waiting for load in loads if load}

    sent, waiting = run_virtual(main())
    assert sent
    assert waiting == {0}


def test_endpoint_that_sends_a_late_response_gets_no_requests_for_a_while():
    """Guards against further requests to an endpoint that sends wrong bytes."""

    async def main():
        async with run_late_fleet() as (fleet, endpoints):
            await call_in_series(fleet, 4, **IDEMPOTENT)
            endpoints['d1'].extra = EXTRAS['unavailable']
            while not endpoints['d1'].extras_sent:
                await call_in_series(fleet, 1, **IDEMPOTENT)
            before = len(endpoints['d1'].received)
            await call_in_series(fleet, 4, pause_s=PAUSE_S, **IDEMPOTENT)
            return len(endpoints['d1'].received) - before

    assert run_virtual(main()) == 0
