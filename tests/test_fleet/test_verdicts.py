"""Tests that verdicts on requests are explained, listed, lifted and kept."""

from __future__ import annotations

import asyncio
import json
import random

from crashing_engine import CrashingEngine, Journal
from crashing_fleet import make_headers
from fleet_fixture import PLATFORM, run_fleet
from test_explaining import log_file

from savorychute.explain.log_reader import read_logs
from savorychute.explain.request_history import describe_request
from savorychute.gateway.daemon.verdict_editor import edit_verdicts
from savorychute.testing.stand_in_http import LOOPBACK
from savorychute.testing.virtual_loop import run_virtual

TEST_S = 200
# Longer than started instances doubt what they know.
SETTLE_S = 11.0
# The gateways learn of a change by an operator within this time.
LEARNING_S = 31.0
REFUSED = 503


def run_with_bad_part(scenario):
    """Run a scenario after three engines have crashed on a part."""
    journal = Journal({'bad0'})

    async def main():
        running = run_fleet(
            3,
            engines=8,
            make_engine=lambda name: CrashingEngine(name, journal),
            has_marks=False,
        )
        async with asyncio.timeout(TEST_S), running as fleet:
            await asyncio.sleep(SETTLE_S)
            while (await call(fleet, '5a0', 'bad0')).status != REFUSED:
                await call(fleet, '5a0', 'd1')
            return await scenario(fleet, journal)

    return run_virtual(main())


async def call(fleet, *parts):
    """Send a new request with some parts to any gateway; return the response."""
    rng = random.Random(fleet.now_s())
    headers = [each for each in make_headers(parts, rng) if each[0] not in OWN]
    return await fleet.call(
        '/s/1',
        gateway=rng.randrange(len(fleet.gateways)),
        method='POST',
        body=rng.randbytes(8),
        extra=headers,
    )


OWN = ('host', 'authorization')


def write_settings(fleet, tmp_path):
    """Write the settings that a command needs to reach the store."""
    document = {
        'instance': 'kochi-0',
        'region': 'kerala',
        'failure_domain': 'kochi',
        'caller_address': f'{LOOPBACK}:1',
        'readiness_address': f'{LOOPBACK}:2',
        'discovery_address': f'{LOOPBACK}:3',
        'metrics_port': 4,
        'peer_port': 5,
        'store_address': f'{LOOPBACK}:{fleet.store.port}',
        'extension_paths': [PLATFORM],
        'extensions': ['fleet'],
        'platform': 'fleet',
    }
    path = tmp_path / 'gateway.json'
    path.write_text(json.dumps(document))
    return path


def test_refusal_for_a_verdict_is_explained(tmp_path):
    """Guards against a refusal whose crashes nobody can find."""

    async def scenario(fleet, journal):
        await call(fleet, '5a0', 'bad0')
        return fleet.last_attempt_id, journal

    path = tmp_path / 'log'
    with log_file(path):
        request_id, journal = run_with_bad_part(scenario)
    story = '\n'.join(describe_request(request_id, read_logs([path])))
    assert 'code 2015 (crashed-endpoints), told not-run' in story
    assert '(convicted): ' in story
    assert story.count(' crashed; its most suspected trait') >= len(journal.crashes)


def test_operator_lists_and_lifts_a_verdict(tmp_path):
    """Guards against a verdict that only time can end."""

    async def scenario(fleet, journal):
        await asyncio.sleep(1)
        path = write_settings(fleet, tmp_path)
        verdicts = await edit_verdicts(path, None)
        key = next(iter(verdicts))
        assert [each.lifted for each in verdicts.values()] == [False]
        lifted = await edit_verdicts(path, key)
        journal.bad_parts.clear()
        await asyncio.sleep(LEARNING_S)
        statuses = [(await call(fleet, '5a0', 'bad0')).status for _ in range(6)]
        await asyncio.sleep(1)
        return lifted[key].lifted, statuses, await edit_verdicts(path, None)

    is_lifted, statuses, left = run_with_bad_part(scenario)
    assert is_lifted
    assert statuses == [200] * 6
    assert left == {}


def test_verdict_outlasts_all_instances():
    """Guards against a loss of all instances after which a part crashes engines again."""

    async def scenario(fleet, journal):
        await asyncio.sleep(1)
        crashes = len(journal.crashes)
        await asyncio.gather(*(gateway.kill() for gateway in fleet.gateways))
        for gateway in fleet.gateways:
            await gateway.start()
        await fleet.call_until_status(200, gateway=0)
        statuses = [(await call(fleet, '5a0', 'bad0')).status for _ in range(6)]
        return statuses, len(journal.crashes) - crashes

    assert run_with_bad_part(scenario) == ([REFUSED] * 6, 0)


def test_verdict_is_written_once_by_one_instance():
    """Guards against a write of each instance."""

    async def scenario(fleet, journal):
        del journal
        await asyncio.sleep(3)
        return len(fleet.store.topic('keyed.verdicts').records)

    assert run_with_bad_part(scenario) == 1


def test_verdict_is_written_again_after_the_store_went_back():
    """Guards against an older copy of the store, and a loss of all instances after it."""

    async def scenario(fleet, journal):
        del journal
        await asyncio.sleep(1)
        fleet.store.go_back(5.0)
        await asyncio.sleep(3)
        return len(fleet.store.topic('keyed.verdicts').newest)

    assert run_with_bad_part(scenario) == 1
