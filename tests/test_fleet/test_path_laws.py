"""Laws that hold while instances lose and regain the paths to endpoints."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import NamedTuple

import pytest
from endpoint_cut import CutKind
from fleet_fixture import run_fleet

from savorychute.testing.virtual_loop import run_virtual

TEST_S = 300
GATEWAYS = 3
DURATION_S = 14.0
CALL_INTERVAL_S = 0.06
MAX_EVENT_INTERVAL_S = 1.5
RESTART_S = 0.3
SEEDS = range(8)
NOT_RUN_STATUSES = (408, 421, 429, 503)
CALLS = (
    {'path': '/a/1'},
    {'path': '/p/1', 'method': 'POST', 'body': b'x'},
    {'path': '/s/1', 'method': 'POST'},
)


class Outcome(NamedTuple):
    """A call, its status (0 for none), and how often it reached an endpoint."""

    path: str
    status: int
    arrivals: int


async def disturb(fleet, rng):
    """Cut instances off, heal, and kill instances in a random order, for ever."""
    while True:
        await asyncio.sleep(rng.uniform(0.2, MAX_EVENT_INTERVAL_S))
        event = rng.choice(('cut', 'cut', 'heal', 'kill'))
        if event == 'cut':
            count = rng.randint(1, GATEWAYS - 1)
            cut_off = set(rng.sample(range(GATEWAYS), count))
            # One instance keeps its path, so that requests can be served.
            fleet.cut.heal()
            fleet.cut.begin(cut_off, rng.choice(list(CutKind)))
        elif event == 'heal':
            fleet.cut.heal()
        else:
            gateway = fleet.gateways[rng.randrange(GATEWAYS)]
            await gateway.kill()
            await asyncio.sleep(RESTART_S)
            await gateway.start()


async def call(fleet, rng, number):
    """Send a request to any instance; return its path and status."""
    kind = rng.choice(CALLS)
    extra = (('x-call', str(number)),)
    response = await fleet.call(gateway=rng.randrange(GATEWAYS), extra=extra, **kind)
    return kind['path'], getattr(response, 'status', 0)


async def play(fleet, seed):
    """Return the outcomes of calls while paths are lost and regained."""
    rng = random.Random(seed)
    disturbing = asyncio.create_task(disturb(fleet, rng))
    ends_s = fleet.now_s() + DURATION_S
    calls = []
    while fleet.now_s() < ends_s:
        calls.append(asyncio.create_task(call(fleet, rng, len(calls))))
        await asyncio.sleep(CALL_INTERVAL_S)
    responses = await asyncio.gather(*calls)
    disturbing.cancel()
    arrivals = Counter(
        headers.get('x-call')
        for endpoint in fleet.endpoints.values()
        for headers in endpoint.received
    )
    return [
        Outcome(path, status, arrivals[str(number)])
        for number, (path, status) in enumerate(responses)
    ]


@pytest.mark.parametrize('seed', SEEDS)
def test_requests_run_as_often_as_their_callers_are_told(seed):
    """Guards against requests that run twice, or after 'not run', on two ways."""

    async def main():
        running = run_fleet(GATEWAYS, plain_endpoints=3, engines=2)
        async with asyncio.timeout(TEST_S), running as fleet:
            await asyncio.sleep(3)
            return await play(fleet, seed)

    outcomes = run_virtual(main())
    posts = [outcome for outcome in outcomes if outcome.path == '/p/1']
    refused = [outcome for outcome in outcomes if outcome.status in NOT_RUN_STATUSES]
    served = [outcome for outcome in outcomes if outcome.status == 200]
    assert not [post for post in posts if post.arrivals > 1]
    assert not [outcome for outcome in refused if outcome.arrivals]
    assert not [outcome for outcome in served if not outcome.arrivals]
    assert len(served) > len(outcomes) / 2
