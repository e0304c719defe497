"""A new instance waits for the newest state, and never adopts an older one."""

from __future__ import annotations

import random

import pytest

from benches.configuration_rig import ConfigurationSimulation, make_contract
from savorychute.configuration.configuration_store import ConfigurationStore
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.log_follower import LogFollower
from savorychute.configuration.log_reader import LogReader
from savorychute.configuration.manager import ConfigurationManager
from savorychute.configuration.offset_notice import OffsetNotice
from savorychute.configuration.record_codec import encode_record
from savorychute.configuration.records_request import RecordsRequest
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.configuration.snapshot_codec import encode_state
from savorychute.configuration.snapshot_monitor import SnapshotMonitor
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord
from savorychute.configuration.state_part import StatePart
from savorychute.inputs.log_record import LogRecord
from savorychute.inputs.records_read import RecordsRead
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

SETTINGS = ConfigurationSettings()


def make_address(name, domain='north-1'):
    return MemberAddress(name, 1, 'north', domain, name, 1, 2)


@pytest.fixture
def folds(amend):
    """Folds with one, two and three contracts."""

    def fold_contracts(count):
        fold = ConfigurationFold()
        for number in range(count):
            amend(fold, f'contract:{number}', 0, make_contract(f'{number}'))
        return fold

    return [fold_contracts(count) for count in (1, 2, 3)]


def state_part(fold):
    return StatePart(fold.state.offset, 0, 1, encode_state(fold), -1, 0)


@pytest.fixture
def view():
    alive = tuple(make_address(name) for name in 'abcd')
    return MemberView(alive[3], alive)


@pytest.fixture
def joiner(view):
    manager = ConfigurationManager(SETTINGS, view.own, random.Random(1))
    manager.tick(view, {}, 0)
    return manager


def notice(fold):
    return OffsetNotice(fold.state.offset, fold.state.digest, -1, 0)


def test_joiner_is_not_ready_with_the_state_of_a_peer_that_is_behind(
    joiner, view, folds
):
    """The first instance that responds was cut off and has an old state.

    Another instance reported a higher offset.  Serving from the older state would
    restore limits that an operator has replaced.
    """
    joiner.receive('a', notice(folds[2]), view, 100)
    joiner.receive('b', notice(folds[1]), view, 110)
    joiner.receive('c', notice(folds[1]), view, 120)
    joiner.receive('b', state_part(folds[1]), view, 200)
    joiner.tick(view, {}, 300)
    assert joiner.state.offset == 1
    assert not joiner.ready
    assert joiner.advertised_offset == -1
    joiner.receive('a', state_part(folds[2]), view, 400)
    joiner.tick(view, {}, 500)
    assert joiner.ready
    assert joiner.advertised_offset == 2


def test_joiner_needs_offsets_of_several_peers_before_it_is_ready(joiner, view, folds):
    joiner.receive('a', notice(folds[0]), view, 100)
    joiner.receive('a', state_part(folds[0]), view, 200)
    joiner.tick(view, {}, 300)
    assert not joiner.ready
    joiner.receive('b', notice(folds[0]), view, 400)
    joiner.receive('c', notice(folds[0]), view, 400)
    joiner.tick(view, {}, 500)
    assert joiner.ready


def test_joiner_is_not_ready_below_an_offset_in_membership_pings(joiner, view, folds):
    for peer in 'abc':
        joiner.receive(peer, notice(folds[0]), view, 100)
    joiner.receive('a', state_part(folds[0]), view, 200)
    joiner.tick(view, {'b': 1}, 300)
    assert not joiner.ready


def test_pull_goes_to_another_peer_when_one_does_not_respond(joiner, view, folds):
    """The instance with the highest offset crashes right after it reported it."""
    actions = joiner.receive('a', notice(folds[2]), view, 100)
    assert [each.instance for each in actions] == ['a']
    assert actions[0].message == RecordsRequest(-1)
    assert joiner.receive('b', notice(folds[1]), view, 200) == []
    pulls = [
        each.instance
        for each in joiner.tick(view, {}, 700)
        if isinstance(getattr(each, 'message', None), RecordsRequest)
    ]
    assert pulls == ['b']


def test_older_state_is_never_adopted(folds):
    """Pushed records make a transfer of the state obsolete before it ends."""
    store = ConfigurationStore(10_000)
    assert store.adopt(encode_state(folds[2]), 2)
    assert not store.adopt(encode_state(folds[1]), 1)
    assert not store.adopt(encode_state(folds[2]), 2)
    assert store.offset == 2
    assert len(store.take_changes()) == 3


def test_state_of_a_sender_that_is_not_a_member_is_ignored(joiner, view, folds):
    assert joiner.receive('x', state_part(folds[2]), view, 100) == []
    assert joiner.state.offset == -1


@pytest.fixture
def follower():
    store = ConfigurationStore(10_000)
    reader = LogReader(SETTINGS, random.Random(1))
    return store, LogFollower(store, reader, SnapshotMonitor(SETTINGS))


def snapshot_at(offset, fold):
    record = SnapshotRecord(
        kind=SNAPSHOT_KIND,
        snapshot_id=f's{offset}',
        through_offset=fold.state.offset,
        part=0,
        parts=1,
        data=encode_state(fold),
    )
    return LogRecord(offset, encode_record(record))


def test_snapshot_followed_by_a_gap_is_not_used(follower, folds):
    """A slow writer appends a snapshot after records that follow it have expired.

    The snapshot covers offset 0 and the log starts at 3, so the effect of the records
    at 1 and 2 is unknown.
    """
    store, log_follower = follower
    old = snapshot_at(3, folds[0])
    log_follower.records_read(RecordsRead('configuration', True, (old,), 3, 5), 0)
    assert store.offset == -1
    assert not log_follower.end_reached
    new = snapshot_at(4, folds[2])
    log_follower.records_read(RecordsRead('configuration', True, (new,), 3, 5), 0)
    assert store.offset == 2
    assert log_follower.next_offset == 3
    log_follower.records_read(RecordsRead('configuration', True, (old, new), 3, 5), 0)
    assert store.offset == 4
    assert log_follower.end_reached


def test_snapshot_of_a_later_offset_than_its_own_is_not_used(follower, folds):
    """A tool of another system appends a snapshot with unrelated offsets.

    An instance that adopted it would wait for offsets that the log reaches only years
    later.
    """
    store, log_follower = follower
    foreign = snapshot_at(2, folds[2])
    log_follower.records_read(RecordsRead('configuration', True, (foreign,), 2, 3), 0)
    assert store.offset == -1


def test_log_that_lost_its_end_reverts_nothing_and_is_reported(follower, folds):
    """The platform restores the log from an older backup."""
    store, log_follower = follower
    store.adopt(encode_state(folds[2]), 2)
    for _ in range(3):
        assert not log_follower.log_is_behind
        records = (LogRecord(0, b'new'), LogRecord(1, b'newer'))
        log_follower.records_read(RecordsRead('configuration', True, records, 0, 2), 0)
    assert store.offset == 2
    assert log_follower.log_is_behind


def test_snapshot_is_due_by_age_by_record_count_and_by_expiry():
    settings = SETTINGS._replace(snapshot_interval_ms=1_000, snapshot_records=50)
    snapshot_monitor = SnapshotMonitor(settings)
    snapshot_monitor.start(0)
    snapshot_monitor.record_reported(10, 400, 0)
    assert not snapshot_monitor.is_due(20, 0, 500)
    assert snapshot_monitor.is_due(20, 0, 600)
    assert snapshot_monitor.is_due(60, 0, 500)
    assert not snapshot_monitor.is_due(20, 10, 500)
    assert snapshot_monitor.is_due(20, 11, 500)


def test_age_of_a_snapshot_is_reported_as_a_duration():
    """All instances are replaced one by one, faster than snapshots become due.

    If each instance counted the age from its own start, none would ever write one.
    """
    snapshot_monitor = SnapshotMonitor(SETTINGS)
    snapshot_monitor.start(1_000_000)
    snapshot_monitor.record_reported(5, 300_000, 1_000_000)
    assert snapshot_monitor.age_ms(1_000_500) == 300_500


def test_join_during_a_log_outage_uses_peers():
    cluster = ConfigurationSimulation(seed=4)
    for number in range(4):
        cluster.add(f'i{number}')
    cluster.wait(7_000)
    cluster.propose('i0', 'contract:m', 0, make_contract('m'))
    cluster.wait(3_000)
    cluster.log.is_up = False
    cluster.add('n0')
    cluster.wait(3_000)
    assert cluster.managers['n0'].ready
    assert cluster.managers['n0'].state.digest == cluster.managers['i0'].state.digest


def test_instance_is_not_ready_without_log_and_peers():
    cluster = ConfigurationSimulation(seed=4)
    cluster.log.is_up = False
    cluster.add('n0')
    cluster.add('n1')
    cluster.wait(60_000)
    assert not any(manager.ready for manager in cluster.managers.values())
    cluster.log.is_up = True
    cluster.wait(10_000)
    assert all(manager.ready for manager in cluster.managers.values())
