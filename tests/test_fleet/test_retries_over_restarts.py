"""Tests of the retry bound while instances end and start, over sockets."""

from __future__ import annotations

import asyncio

from fleet_fixture import run_fleet

from savorychute.testing.virtual_loop import run_virtual

GATEWAYS = 4
TEST_S = 120
RATIO = 0.2
SLACK = 40
WINDOW_S = 10.0
# Between two requests to one instance.
REQUEST_INTERVAL_S = 0.25


async def send_requests(fleet, gateway, end_s):
    """Send requests to an instance, even while it is not running."""
    calls = set()
    while fleet.now_s() < end_s:
        fleet.sent_s.append(fleet.now_s())
        call = asyncio.create_task(fleet.call(gateway=gateway))
        calls.add(call)
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*calls)


def find_retries(fleet):
    """Return when endpoints received a request that one of them had received before."""
    seen = set()
    retries = []
    arrivals = sorted(
        (at_s, headers['attempt-id'])
        for endpoint in fleet.endpoints.values()
        for at_s, headers in zip(
            endpoint.received_times_s, endpoint.received, strict=True
        )
    )
    for at_s, attempt_id in arrivals:
        if attempt_id in seen:
            retries.append(at_s)
        seen.add(attempt_id)
    return retries


def find_excess(fleet):
    """Return by how much the worst window exceeds the retry bound."""
    retries = find_retries(fleet)
    assert retries
    return max(
        count_between(retries, at_s, at_s + WINDOW_S) - find_allowed(fleet.sent_s, at_s)
        for at_s in retries
    )


def find_allowed(sent_s, start_s):
    """Return the retry bound of the window that starts at a time."""
    starts_s = (start_s - WINDOW_S, start_s - WINDOW_S / 2, start_s)
    requests = max(
        count_between(sent_s, window_start_s, window_start_s + WINDOW_S)
        for window_start_s in starts_s
    )
    return RATIO * requests + SLACK


def count_between(times_s, start_s, end_s):
    return sum(start_s <= at_s < end_s for at_s in times_s)


def run_storm(disturb, duration_s):
    """Make all endpoints reject every request while instances are disturbed."""

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
            run_fleet(GATEWAYS, plain_endpoints=5, **settings) as fleet,
        ):
            fleet.sent_s = []
            # The gateways must know each other before the storm.
            await asyncio.sleep(12)
            for endpoint in fleet.endpoints.values():
                endpoint.sheds = True
            end_s = fleet.now_s() + duration_s
            async with asyncio.TaskGroup() as tasks:
                for number in range(GATEWAYS):
                    tasks.create_task(send_requests(fleet, number, end_s))
                tasks.create_task(disturb(fleet))
            return fleet

    return run_virtual(main())


def test_killed_instances_do_not_spend_their_share_again_after_a_start():
    """Guards against retries that an instance no longer counts after a restart."""

    async def kill_most(fleet):
        await asyncio.sleep(4)
        for gateway in fleet.gateways[1:]:
            await gateway.kill()
        await asyncio.sleep(0.5)
        for gateway in fleet.gateways[1:]:
            await gateway.start()

    assert find_excess(run_storm(kill_most, duration_s=8)) <= 0


def test_slack_is_divided_by_instances_that_left_within_the_window():
    """Guards against ignoring instances that left but whose retries still count."""

    async def restart_most(fleet):
        await asyncio.sleep(2)
        await asyncio.gather(*(fleet.gateways[number].stop() for number in (1, 2, 3)))
        await asyncio.sleep(0.5)
        for gateway in fleet.gateways[1:]:
            await gateway.start()

    assert find_excess(run_storm(restart_most, duration_s=14)) <= 0


def test_instances_killed_during_a_calm_phase_retry_at_once_after_a_start():
    """Guards against keeping to the bound by sending no retries after each kill."""

    async def kill_all(fleet):
        for gateway in fleet.gateways:
            await gateway.kill()
        for gateway in fleet.gateways:
            await gateway.start()
        fleet.started_s = fleet.now_s()

    fleet = run_storm(kill_all, duration_s=8)
    early_retries = count_between(
        find_retries(fleet), fleet.started_s, fleet.started_s + 5
    )

    assert find_excess(fleet) <= 0
    assert early_retries >= GATEWAYS
