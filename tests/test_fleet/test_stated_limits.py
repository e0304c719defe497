"""Tests of the limits that endpoints state for all instances together, over sockets."""

from __future__ import annotations

import asyncio
from bisect import bisect_left

from rig import run_rig

from savorychute.testing.virtual_loop import run_virtual

GATEWAYS = 4
TEST_S = 120
SPAN_S = 4.0
# From the first statement to the time from which on the limit is kept.
NOTICE_S = 3.0
# From an answer that an instance passes on to the time from which on its calls count.
TOLD_S = 0.5
LASTS_S = 15.0
# Between two requests at one instance.
SPACE_S = 0.2
PROMPT = (
    ('model', 'm'),
    ('token-count', '6000,20'),
    ('prefix-hash', '5c1e:5000,91bd:1000'),
)


class Calls:
    """What callers sent and got, by instance."""

    def __init__(self):
        self.statuses = []
        self.served_by = set()
        # Which instance got a request, and when it first passed a limit on.
        self.instance_of = {}
        self.told_s = {}

    async def make(self, rig, gateway, **call):
        work = asyncio.create_task(rig.call(gateway=gateway, **call))
        await asyncio.sleep(0)
        self.instance_of[rig.last_id] = gateway
        answer = await work
        self.statuses.append(answer.status)
        if answer.status == 200:
            self.served_by.add(gateway)
        if 'server-limit' in answer.headers:
            self.told_s.setdefault(gateway, rig.now_s())

    async def make_many(self, rig, gateway, **call):
        ends_s = rig.now_s() + LASTS_S
        # Instances do not get their requests at the same moments.
        await asyncio.sleep(SPACE_S * gateway / GATEWAYS)
        async with asyncio.TaskGroup() as calls:
            while rig.now_s() < ends_s:
                calls.create_task(self.make(rig, gateway, **call))
                await asyncio.sleep(SPACE_S)

    def is_told(self, gateway, at_s):
        return at_s >= self.told_s.get(gateway, at_s) + TOLD_S


def find_counted(endpoint, calls):
    """Return when an endpoint was called by instances that it had told."""
    arrivals = zip(endpoint.times, endpoint.got, strict=True)
    attempts = [
        at_s
        for at_s, headers in arrivals
        if calls.is_told(calls.instance_of.get(headers['attempt-id']), at_s)
    ]
    all_told_s = max(calls.told_s.values()) + TOLD_S
    return sorted(attempts + [at_s for at_s in endpoint.reports_s if at_s > all_told_s])


def find_most(times_s, begin_s):
    """Return the most calls within a span that ends after a time."""
    counts = (
        index + 1 - bisect_left(times_s, at_s - SPAN_S)
        for index, at_s in enumerate(times_s)
        if at_s >= begin_s
    )
    return max(counts, default=0)


def find_allowed(limit_per_s):
    """Return how many calls a span may have."""
    return 1.5 * limit_per_s * SPAN_S + 5


def run_limited(name, limit_per_s, **call):
    """Let one endpoint state a limit under load; return it, and what callers got."""

    async def main():
        async with asyncio.timeout(TEST_S), run_rig(GATEWAYS, desks=3) as rig:
            # The gateways have to hear of each other first.
            await asyncio.sleep(5)
            endpoint = rig.endpoints[name]
            endpoint.stated = (('server-limit', str(limit_per_s)),)
            endpoint.stated_s = rig.now_s()
            calls = Calls()
            async with asyncio.TaskGroup() as tasks:
                for number in range(GATEWAYS):
                    tasks.create_task(calls.make_many(rig, number, **call))
            return endpoint, calls

    return run_virtual(main())


def test_instances_together_send_an_endpoint_no_more_than_it_takes():
    """Guards against instances that each count only what they send themselves."""
    endpoint, calls = run_limited('d1', 1)

    most = find_most(find_counted(endpoint, calls), endpoint.stated_s + NOTICE_S)
    assert most <= find_allowed(1)
    assert set(calls.statuses) == {200}


def test_load_reports_count_among_the_calls_that_an_engine_takes():
    """Guards against questions for load reports beyond what an engine in need takes."""
    endpoint, calls = run_limited('e1', 2, path='/s/1', method='POST', extra=PROMPT)

    most = find_most(find_counted(endpoint, calls), endpoint.stated_s + NOTICE_S)
    assert most <= find_allowed(2)
    assert set(calls.statuses) <= {200, 503}


def test_most_of_a_limit_is_used_where_nothing_else_is_there():
    """Guards against a limit that is kept by hardly sending anything."""
    endpoint, calls = run_limited('e1', 4, path='/s/1', method='POST', extra=PROMPT)

    served = [at_s for at_s in endpoint.times if at_s >= endpoint.stated_s]
    assert len(served) > LASTS_S * 4 / 2
    assert calls.served_by == set(range(GATEWAYS))


def test_instance_that_got_no_requests_knows_the_limit():
    """Guards against a first call of each instance to an endpoint in need."""

    async def main():
        async with asyncio.timeout(TEST_S), run_rig(2) as rig:
            await asyncio.sleep(5)
            endpoint = rig.endpoints['d1']
            endpoint.stated = (('server-limit', '0.25'),)
            await rig.call(gateway=0)
            await asyncio.sleep(NOTICE_S)
            before = len(endpoint.times)
            # The bucket of its home is still empty.
            answer = await rig.call(gateway=1)
            return answer.status, len(endpoint.times) - before

    assert run_virtual(main()) == (503, 0)
