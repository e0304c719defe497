"""Tests of limits that endpoints state for all instances together, over sockets."""

from __future__ import annotations

import asyncio
from bisect import bisect_left

from fleet_fixture import run_fleet

from savorychute.testing.virtual_loop import run_virtual

GATEWAYS = 4
TEST_S = 120
WINDOW_S = 4.0
# From the first statement of a limit until it must be respected.
NOTICE_S = 3.0
# From a response with the limit, which an instance passes on, until its calls count.
RESPONSE_NOTICE_S = 0.5
DURATION_S = 15.0
# Interval between two requests to one instance.
CALL_INTERVAL_S = 0.2
PROMPT = (
    ('model', 'm'),
    ('token-count', '6000,20'),
    ('prefix-hash', '5c1e:5000,91bd:1000'),
)


class Calls:
    """Requests of callers and their responses, by instance."""

    def __init__(self):
        self.statuses = []
        self.served_by = set()
        # The instance that received a request, and when it first passed on a limit.
        self.gateway_of = {}
        self.limit_known_s = {}

    async def send(self, fleet, gateway, **call):
        task = asyncio.create_task(fleet.call(gateway=gateway, **call))
        await asyncio.sleep(0)
        self.gateway_of[fleet.last_attempt_id] = gateway
        response = await task
        self.statuses.append(response.status)
        if response.status == 200:
            self.served_by.add(gateway)
        if 'server-limit' in response.headers:
            self.limit_known_s.setdefault(gateway, fleet.now_s())

    async def send_many(self, fleet, gateway, **call):
        ends_s = fleet.now_s() + DURATION_S
        # Offsets the instances, so that their requests do not coincide.
        await asyncio.sleep(CALL_INTERVAL_S * gateway / GATEWAYS)
        async with asyncio.TaskGroup() as calls:
            while fleet.now_s() < ends_s:
                calls.create_task(self.send(fleet, gateway, **call))
                await asyncio.sleep(CALL_INTERVAL_S)

    def knows_limit(self, gateway, at_s):
        return at_s >= self.limit_known_s.get(gateway, at_s) + RESPONSE_NOTICE_S


def find_limited_calls(endpoint, calls):
    """Return the times of calls from instances that knew the limit of an endpoint."""
    received = zip(endpoint.received_times_s, endpoint.received, strict=True)
    attempts = [
        at_s
        for at_s, headers in received
        if calls.knows_limit(calls.gateway_of.get(headers['attempt-id']), at_s)
    ]
    all_know_s = max(calls.limit_known_s.values()) + RESPONSE_NOTICE_S
    return sorted(
        attempts + [at_s for at_s in endpoint.report_times_s if at_s > all_know_s]
    )


def find_max_calls(times_s, start_s):
    """Return the maximum of calls in any window that ends after a time."""
    counts = (
        index + 1 - bisect_left(times_s, at_s - WINDOW_S)
        for index, at_s in enumerate(times_s)
        if at_s >= start_s
    )
    return max(counts, default=0)


def find_allowed_calls(limit_per_s):
    """Return how many calls a window may contain."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def run_limited(name, limit_per_s, **call):
    """Let one endpoint state a limit under load; return it and the calls."""

    async def main():
        async with (
            asyncio.timeout(TEST_S),
            run_fleet(GATEWAYS, plain_endpoints=3) as fleet,
        ):
            # Lets the gateways discover each other first.
            await asyncio.sleep(5)
            endpoint = fleet.endpoints[name]
            endpoint.statement_headers = (('server-limit', str(limit_per_s)),)
            endpoint.limit_stated_s = fleet.now_s()
            calls = Calls()
            async with asyncio.TaskGroup() as tasks:
                for number in range(GATEWAYS):
                    tasks.create_task(calls.send_many(fleet, number, **call))
            return endpoint, calls

    return run_virtual(main())


def test_instances_together_respect_the_limit_of_an_endpoint():
    """Guards against instances that count only their own calls."""
    endpoint, calls = run_limited('d1', 1)

    max_calls = find_max_calls(
        find_limited_calls(endpoint, calls), endpoint.limit_stated_s + NOTICE_S
    )
    assert max_calls <= find_allowed_calls(1)
    assert set(calls.statuses) == {200}


def test_load_reports_count_towards_the_limit_of_an_engine():
    """Guards against requests for load reports beyond the limit of an engine."""
    endpoint, calls = run_limited('e1', 2, path='/s/1', method='POST', extra=PROMPT)

    max_calls = find_max_calls(
        find_limited_calls(endpoint, calls), endpoint.limit_stated_s + NOTICE_S
    )
    assert max_calls <= find_allowed_calls(2)
    assert set(calls.statuses) <= {200, 503}


def test_most_of_the_limit_is_used_if_there_is_no_other_endpoint():
    """Guards against respecting a limit by sending hardly any calls."""
    endpoint, calls = run_limited('e1', 4, path='/s/1', method='POST', extra=PROMPT)

    served = [
        at_s for at_s in endpoint.received_times_s if at_s >= endpoint.limit_stated_s
    ]
    assert len(served) > DURATION_S * 4 / 2
    assert calls.served_by == set(range(GATEWAYS))


def test_instance_without_requests_knows_the_limit():
    """Guards against one call of each instance to an endpoint beyond its limit."""

    async def main():
        async with asyncio.timeout(TEST_S), run_fleet(2) as fleet:
            await asyncio.sleep(5)
            endpoint = fleet.endpoints['d1']
            endpoint.statement_headers = (('server-limit', '0.25'),)
            await fleet.call(gateway=0)
            await asyncio.sleep(NOTICE_S)
            before = len(endpoint.received_times_s)
            # The token bucket at the endpoint's home instance is still empty.
            response = await fleet.call(gateway=1)
            return response.status, len(endpoint.received_times_s) - before

    assert run_virtual(main()) == (503, 0)
