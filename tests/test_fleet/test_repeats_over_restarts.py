"""Tests of the bound on repeats while instances end and start, over sockets."""

from __future__ import annotations

import asyncio

from fleet_fixture import run_fleet

from savorychute.testing.virtual_loop import run_virtual

GATEWAYS = 4
TEST_S = 120
RATIO = 0.2
SLACK = 40
WINDOW_S = 10.0
# Between two requests at one instance.
SPACE_S = 0.25


async def send_requests(rig, gateway, ends_s):
    """Send requests to an instance, whether it runs or not."""
    calls = set()
    while rig.now_s() < ends_s:
        rig.sent_s.append(rig.now_s())
        call = asyncio.create_task(rig.call(gateway=gateway))
        calls.add(call)
        await asyncio.sleep(SPACE_S)
    await asyncio.gather(*calls)


def find_repeats(rig):
    """Return when endpoints got a request that one of them had got before."""
    seen = set()
    repeats = []
    arrivals = sorted(
        (at_s, headers['attempt-id'])
        for endpoint in rig.endpoints.values()
        for at_s, headers in zip(
            endpoint.received_times_s, endpoint.received, strict=True
        )
    )
    for at_s, attempt in arrivals:
        if attempt in seen:
            repeats.append(at_s)
        seen.add(attempt)
    return repeats


def find_excess(rig):
    """Return by how much the worst window passes what endpoints may get there."""
    repeats = find_repeats(rig)
    assert repeats
    return max(
        count_between(repeats, at_s, at_s + WINDOW_S) - find_allowed(rig.sent_s, at_s)
        for at_s in repeats
    )


def find_allowed(sent_s, begin_s):
    """Return how many repeats the window that begins at a time may have."""
    begins = (begin_s - WINDOW_S, begin_s - WINDOW_S / 2, begin_s)
    requests = max(count_between(sent_s, each, each + WINDOW_S) for each in begins)
    return RATIO * requests + SLACK


def count_between(received_times_s, begin_s, end_s):
    return sum(begin_s <= each < end_s for each in received_times_s)


def run_storm(disturb, lasts_s):
    """Let all endpoints shed everything while instances are disturbed."""

    async def main():
        settings = {
            'retry_ratio': RATIO,
            'retry_slack': SLACK,
            'retry_window_s': WINDOW_S,
            'revoke_notice_ms': 60_000,
            'grace_s': 4,
        }
        async with (
            asyncio.timeout(TEST_S),
            run_fleet(GATEWAYS, plain_endpoints=5, **settings) as rig,
        ):
            rig.sent_s = []
            # The gateways have to hear of each other before the storm.
            await asyncio.sleep(12)
            for endpoint in rig.endpoints.values():
                endpoint.sheds = True
            ends_s = rig.now_s() + lasts_s
            async with asyncio.TaskGroup() as tasks:
                for number in range(GATEWAYS):
                    tasks.create_task(send_requests(rig, number, ends_s))
                tasks.create_task(disturb(rig))
            return rig

    return run_virtual(main())


def test_killed_instances_do_not_repeat_their_part_anew_when_they_start():
    """Guards against repeats that an instance forgets with its process."""

    async def kill_most(rig):
        await asyncio.sleep(4)
        for gateway in rig.gateways[1:]:
            await gateway.kill()
        await asyncio.sleep(0.5)
        for gateway in rig.gateways[1:]:
            await gateway.start()

    assert find_excess(run_storm(kill_most, lasts_s=8)) <= 0


def test_instances_that_restart_in_turn_do_not_divide_the_slack_by_too_few():
    """Guards against parts of instances that left and still count in the window."""

    async def restart_in_turn(rig):
        await asyncio.sleep(2)
        await asyncio.gather(*(rig.gateways[number].stop() for number in (1, 2, 3)))
        await asyncio.sleep(0.5)
        for gateway in rig.gateways[1:]:
            await gateway.start()

    assert find_excess(run_storm(restart_in_turn, lasts_s=14)) <= 0


def test_instances_that_were_killed_in_a_calm_hour_repeat_again_at_once():
    """Guards against a bound that is kept by no second attempt after each kill."""

    async def kill_all(rig):
        for gateway in rig.gateways:
            await gateway.kill()
        for gateway in rig.gateways:
            await gateway.start()
        rig.started_s = rig.now_s()

    rig = run_storm(kill_all, lasts_s=8)
    soon = count_between(find_repeats(rig), rig.started_s, rig.started_s + 5)

    assert find_excess(rig) <= 0
    assert soon >= GATEWAYS
