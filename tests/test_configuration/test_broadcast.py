"""A change comes into force on all instances within seconds."""

from __future__ import annotations

import statistics

import pytest

from benches.configuration_rig import ConfigurationSimulation, make_contract
from savorychute.result_code import ResultCode

MEMBERS = 110
DOMAINS = 22
REGIONS = 8
MAX_P95_DELAY_MS = 7_000
MAX_DELAY_MS = 10_000


@pytest.fixture
def region_cluster():
    cluster = ConfigurationSimulation(seed=9)
    for number in range(MEMBERS):
        domain = number % DOMAINS
        cluster.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    cluster.wait(8_000)
    cluster.loss_share = 0.1
    return cluster


def propose_and_measure(cluster, number):
    """Propose a change; return its delay on each member, and the command id."""
    cluster.applied.clear()
    proposed_ms = cluster.now_ms
    item = f'contract:{number}'
    command = cluster.propose(f'i{number:03}', item, 0, make_contract(f'{number}'))
    cluster.wait(MAX_DELAY_MS)
    return [change.at_ms - proposed_ms for change in cluster.applied], command


def test_change_reaches_all_instances_despite_lost_messages(region_cluster):
    """A tenth of all messages between instances is lost."""
    for number in range(3):
        delays, command = propose_and_measure(region_cluster, number)
        assert region_cluster.replies[command].code is ResultCode.OK
        assert len(delays) == MEMBERS
        assert statistics.quantiles(delays, n=20)[18] <= MAX_P95_DELAY_MS


def test_region_without_the_log_receives_changes_from_other_regions(region_cluster):
    """One region cannot reach the log, but instances of other regions can."""
    region_cluster.cut_from_log = {
        name
        for name, address in region_cluster.addresses.items()
        if address.region == 'r1'
    }
    delays, _ = propose_and_measure(region_cluster, 0)
    assert len(delays) == MEMBERS


def test_change_survives_the_crash_of_the_proposing_instance(region_cluster):
    """The instance crashes right after the log has accepted its record.

    The operator gets no reply, but the pollers still read the change.
    """
    region_cluster.propose('i005', 'contract:x', 0, make_contract('x'))
    region_cluster.stop('i005')
    region_cluster.wait(MAX_DELAY_MS)
    offsets = {manager.state.offset for manager in region_cluster.managers.values()}
    assert offsets == {0}


def test_region_catches_up_after_a_network_partition(region_cluster):
    """A network partition cuts off a region, also from the log, for half a minute."""
    region_cluster.cut_regions = {'r2'}
    region_cluster.cut_from_log = {
        name
        for name, address in region_cluster.addresses.items()
        if address.region == 'r2'
    }
    for number in range(3):
        propose_and_measure(region_cluster, number)
    behind = {region_cluster.managers[each].state.offset for each in ('i002', 'i010')}
    assert behind == {-1}
    region_cluster.cut_regions = set()
    region_cluster.cut_from_log = set()
    region_cluster.wait(MAX_DELAY_MS)
    offsets = {manager.state.offset for manager in region_cluster.managers.values()}
    assert offsets == {2}
