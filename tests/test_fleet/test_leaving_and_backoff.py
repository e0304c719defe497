"""Tests of endpoints that leave or request a backoff, over sockets."""

from __future__ import annotations

import asyncio

import pytest
from fleet_fixture import run_fleet

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 120
# From the response that states leaving until no new requests may arrive.
DRAIN_NOTICE_S = 2.0
BACKOFF_S = 3.0
# From the response that requests a backoff until the backoff must be observed.
BACKOFF_NOTICE_S = 0.5
LEAVING_HEADERS = (('server-leaving', '1'),)
BACKOFF_HEADERS = (('retry-after', str(BACKOFF_S)),)
CALL_INTERVAL_S = 0.1
DURATION_S = 8.0
STREAM_CALL = {'path': '/s/1', 'method': 'POST'}
LONG_PROMPT = (
    ('model', 'm'),
    ('token-count', '6000,20'),
    ('prefix-hash', '5c1e:5000,91bd:1000'),
)


async def call_repeatedly(fleet, duration_s, **call):
    """Send requests to an instance for some time; return the responses."""
    ends_s = fleet.now_s() + duration_s
    calls = []
    while fleet.now_s() < ends_s:
        calls.append(asyncio.create_task(fleet.call(**call)))
        await asyncio.sleep(CALL_INTERVAL_S)
    return await asyncio.gather(*calls)


def run_with_fleet(scenario, gateways=2, plain_endpoints=2):
    """Run a scenario against gateways that know each other."""

    async def main():
        running = run_fleet(
            gateways, plain_endpoints=plain_endpoints, revoke_notice_ms=60_000
        )
        async with asyncio.timeout(TEST_S), running as fleet:
            await asyncio.sleep(5)
            return await scenario(fleet)

    return run_virtual(main())


def count_received_after(endpoint, at_s):
    return sum(received_s > at_s for received_s in endpoint.received_times_s)


def test_endpoint_that_states_leaving_receives_no_new_requests():
    """Guards against requests to a leaving endpoint while the store is unavailable."""

    async def scenario(fleet):
        fleet.store.mode = 'busy'
        endpoint = fleet.endpoints['d1']
        endpoint.statement_headers = LEAVING_HEADERS
        leaving_s = fleet.now_s()
        responses = await call_repeatedly(fleet, DURATION_S)
        return count_received_after(endpoint, leaving_s + DRAIN_NOTICE_S), responses

    late, responses = run_with_fleet(scenario)

    assert late == 0
    assert {response.status for response in responses} == {200}


def test_store_entries_do_not_revoke_a_leaving_statement():
    """Guards against using a leaving endpoint again after its next heartbeat."""

    async def scenario(fleet):
        endpoint = fleet.endpoints['d1']
        endpoint.statement_headers = LEAVING_HEADERS
        leaving_s = fleet.now_s()
        await call_repeatedly(fleet, 1.0)
        for sequence in range(2, 8):
            fleet.write_entry('d1', sequence=sequence)
            await call_repeatedly(fleet, 1.0)
        return count_received_after(endpoint, leaving_s + DRAIN_NOTICE_S)

    assert run_with_fleet(scenario) == 0


def test_instances_report_leaving_endpoints_to_each_other():
    """Guards against one request of each instance to a leaving endpoint."""

    async def scenario(fleet):
        fleet.store.mode = 'busy'
        endpoint = fleet.endpoints['d1']
        endpoint.statement_headers = LEAVING_HEADERS
        await call_repeatedly(fleet, 1.0, gateway=0)
        await asyncio.sleep(DRAIN_NOTICE_S)
        before = len(endpoint.received_times_s)
        await call_repeatedly(fleet, 2.0, gateway=1)
        return len(endpoint.received_times_s) - before

    assert run_with_fleet(scenario) == 0


def test_new_run_of_a_left_endpoint_receives_requests():
    """Guards against excluding an endpoint for ever after it has left once."""

    async def scenario(fleet):
        endpoint = fleet.endpoints['d1']
        endpoint.statement_headers = LEAVING_HEADERS
        await call_repeatedly(fleet, 1.0)
        endpoint.statement_headers = ()
        fleet.write_entry('d1', sequence=1, born=1_700_000_000_000)
        await asyncio.sleep(1)
        before = len(endpoint.received_times_s)
        await call_repeatedly(fleet, 2.0)
        return len(endpoint.received_times_s) - before

    assert run_with_fleet(scenario) > 0


@pytest.mark.parametrize(
    ('name', 'call'), [('d1', {}), ('e1', {'extra': LONG_PROMPT, **STREAM_CALL})]
)
def test_endpoint_receives_the_backoff_that_it_requests(name, call):
    """Guards against requests to an endpoint that has just shed one."""

    async def scenario(fleet):
        endpoint = fleet.endpoints[name]
        endpoint.sheds, endpoint.statement_headers = True, BACKOFF_HEADERS
        started_s = fleet.now_s()
        await call_repeatedly(fleet, BACKOFF_S - CALL_INTERVAL_S, **call)
        return [
            at_s - started_s for at_s in endpoint.received_times_s if at_s >= started_s
        ]

    calls_s = run_with_fleet(scenario, gateways=1, plain_endpoints=1)
    first_s = min(calls_s)

    assert (
        sum(
            first_s + BACKOFF_NOTICE_S <= at_s < first_s + BACKOFF_S for at_s in calls_s
        )
        <= 2
    )


def test_caller_is_refused_early_if_all_endpoints_are_in_backoff():
    """Guards against a caller that waits, or retries before the end of the backoff."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.endpoints[name].sheds = True
            fleet.endpoints[name].statement_headers = BACKOFF_HEADERS
        await fleet.call()
        await fleet.call()
        started_s = fleet.now_s()
        response = await fleet.call()
        return response, fleet.now_s() - started_s

    response, waited_s = run_with_fleet(scenario, gateways=1)

    assert response.status == 503
    assert waited_s < CALL_INTERVAL_S
    assert (
        BACKOFF_S - CALL_INTERVAL_S
        < float(response.headers['retry-after'])
        <= BACKOFF_S + 0.5
    )
