"""A change is in force everywhere within seconds."""

from __future__ import annotations

import statistics

import pytest

from benches.configuration_rig import ConfigurationSimulation, make_contract
from savorychute.result_code import ResultCode

MEMBERS = 110
DOMAINS = 22
REGIONS = 8
P95_MS = 7_000
WORST_MS = 10_000


@pytest.fixture
def region_rig():
    rig = ConfigurationSimulation(seed=9)
    for number in range(MEMBERS):
        domain = number % DOMAINS
        rig.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    rig.wait(8_000)
    rig.loss_share = 0.1
    return rig


def spread_change(rig, number):
    """Return after how long each member had a change, and the operator's id."""
    rig.applied.clear()
    begun_ms = rig.now_ms
    item = f'contract:{number}'
    command = rig.propose(f'i{number:03}', item, 0, make_contract(f'{number}'))
    rig.wait(WORST_MS)
    return [each.at_ms - begun_ms for each in rig.applied], command


def test_change_is_in_force_everywhere_while_messages_are_lost(region_rig):
    """A tenth of all messages between instances gets lost."""
    for number in range(3):
        delays, command = spread_change(region_rig, number)
        assert region_rig.replies[command].code is ResultCode.OK
        assert len(delays) == MEMBERS
        assert statistics.quantiles(delays, n=20)[18] <= P95_MS


def test_region_without_the_log_gets_changes_from_the_others(region_rig):
    """One region cannot reach the log, but other instances can."""
    region_rig.cut_from_log = {
        name for name, address in region_rig.addresses.items() if address.region == 'r1'
    }
    delays, _ = spread_change(region_rig, 0)
    assert len(delays) == MEMBERS


def test_change_outlives_the_instance_that_brought_it(region_rig):
    """The instance fails right after the log has taken its record.

    The operator got no answer; the pollers find the change all the same.
    """
    region_rig.propose('i005', 'contract:x', 0, make_contract('x'))
    region_rig.stop('i005')
    region_rig.wait(WORST_MS)
    offsets = {keeper.state.offset for keeper in region_rig.managers.values()}
    assert offsets == {0}


def test_region_that_was_cut_off_catches_up(region_rig):
    """A region is cut from the others and the log for half a minute."""
    region_rig.cut_regions = {'r2'}
    region_rig.cut_from_log = {
        name for name, address in region_rig.addresses.items() if address.region == 'r2'
    }
    for number in range(3):
        spread_change(region_rig, number)
    behind = {region_rig.managers[each].state.offset for each in ('i002', 'i010')}
    assert behind == {-1}
    region_rig.cut_regions = set()
    region_rig.cut_from_log = set()
    region_rig.wait(WORST_MS)
    offsets = {keeper.state.offset for keeper in region_rig.managers.values()}
    assert offsets == {2}
