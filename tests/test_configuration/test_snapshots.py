"""A snapshot stands for all records before it."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benches.configuration_rig import (
    ConfigurationSimulation,
    make_contract,
    make_endpoint,
)
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.record_codec import decode_record
from savorychute.configuration.record_ring import RecordRing
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.configuration.snapshot_assembler import SnapshotAssembler
from savorychute.configuration.snapshot_codec import (
    decode_state,
    encode_state,
    split_state,
)
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord
from savorychute.errors import MessageError
from savorychute.inputs.log_record import LogRecord
from savorychute.result_code import ResultCode


def make_payload(offset, item, base_version, document, record_id):
    return msgspec.json.encode(
        {
            'kind': 'amendment',
            'record_id': record_id,
            'operator': 'asha',
            'instance': 'a',
            'item': item,
            'base_version': base_version,
            'seen_offset': offset - 1,
            'document': document,
            'why': 'a test',
            'at_ms': offset,
        }
    )


def observe(fold):
    """Return all of the fold that later records can depend on."""
    state = fold.state
    documents = {item: state.document(item) for item in state.versions}
    return state.offset, state.digest, state.versions, documents, fold.verdicts.all()


CHANGES = st.lists(
    st.tuples(
        st.sampled_from(['contract:a', 'contract:b', 'endpoint:e', 'endpoint:f', '?']),
        st.sampled_from(['right', 'old', 'garbage', 'remove', 'repeat', 'token']),
        st.sampled_from([0.2, 0.6, 0.9]),
        st.sampled_from(['active', 'draining', 'retired']),
    ),
    max_size=30,
)


def fold_changes(changes):
    """Return the fold of the changes and their records."""
    fold = ConfigurationFold()
    records = []
    for offset, (item, way, share, state) in enumerate(changes):
        name = item.partition(':')[2] or 'x'
        document = make_endpoint(name, state)
        if item.startswith('contract'):
            owner = 'a' if way == 'token' else name
            document = {**make_contract(owner, share), 'organisation': name}
        base = fold.state.versions.get(item, 0) + (way == 'old')
        record_id = 'r0' if way == 'repeat' else f'r{offset}'
        proposed = None if way == 'remove' else document
        payload = make_payload(offset, item, base, proposed, record_id)
        record = LogRecord(offset, b'{' if way == 'garbage' else payload)
        records.append(record)
        fold.apply(record)
    return fold, records


@settings(max_examples=120, deadline=None, derandomize=True)
@given(CHANGES, st.integers(0, 30))
def test_snapshot_and_suffix_fold_to_the_same_as_all_records(changes, cut):
    whole, records = fold_changes(changes)
    early, _ = fold_changes(changes[:cut])
    resumed = ConfigurationFold()
    state, verdicts = decode_state(encode_state(early))
    if state.offset >= 0:
        resumed.adopt(state, verdicts)
    for record in records[cut:]:
        resumed.apply(record)
    assert observe(resumed) == observe(whole)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(CHANGES)
def test_records_passed_on_fold_to_the_same_as_those_of_the_log(changes):
    whole, records = fold_changes(changes)
    ring = RecordRing(10_000_000)
    for record in records:
        ring.add(record)
    other = ConfigurationFold()
    for record in ring.take_after(-1, 10_000_000):
        other.apply(LogRecord(record.offset, record.payload))
    assert observe(other) == observe(whole)


def test_record_too_large_for_a_message_is_passed_on_as_nothing():
    """A tool appends an amendment of half a megabyte of spaces.

    Were it passed on as it is, no message could hold it, and all instances that
    do not read the log would be stuck before it.
    """
    payload = make_payload(0, 'contract:a', 0, make_contract('a'), 'r0')
    ring = RecordRing(10_000_000)
    record = LogRecord(0, payload + b' ' * 500_000)
    ring.add(record)
    (passed,) = ring.take_after(-1, 1_000)
    assert passed.payload == b''
    whole, other = ConfigurationFold(), ConfigurationFold()
    whole.apply(record)
    other.apply(LogRecord(0, passed.payload))
    assert observe(whole) == observe(other)
    assert not whole.verdicts.all()[0].accepted


@pytest.mark.parametrize('position', [0, 10, -1])
def test_damaged_state_is_refused(fold, amend, position):
    amend(fold, 'contract:a', 0, make_contract('a'))
    data = bytearray(encode_state(fold))
    data[position] ^= 0x55
    with pytest.raises(MessageError):
        decode_state(bytes(data))
    with pytest.raises(MessageError):
        decode_state(encode_state(fold)[:-4])


def make_part(snapshot_id, part, parts, data, through_offset=9):
    return SnapshotRecord(
        kind=SNAPSHOT_KIND,
        snapshot_id=snapshot_id,
        through_offset=through_offset,
        part=part,
        parts=parts,
        data=data,
    )


def test_parts_of_two_writers_may_be_mixed():
    """Two instances notice at once that a snapshot is due."""
    assembler = SnapshotAssembler()
    assert assembler.add(make_part('x', 0, 2, b'ab'), 10) is None
    assert assembler.add(make_part('y', 0, 2, b'12'), 11) is None
    assert assembler.add(make_part('y', 1, 2, b'3'), 12).data == b'123'
    snapshot = assembler.add(make_part('x', 1, 2, b'c'), 13)
    assert snapshot.data == b'abc'
    assert snapshot.first_part_offset == 10


def test_split_state_is_whole_again_in_order():
    data = random.Random(1).randbytes(1_000)
    parts = split_state(data, 300)
    assert [len(part) for part in parts] == [300, 300, 300, 100]
    assert b''.join(parts) == data


SHORT = ConfigurationSettings(
    snapshot_interval_ms=60_000,
    snapshot_jitter_ms=20_000,
    snapshot_part_bytes=400,
)


def count_snapshots(log):
    ids = []
    for payload in log.streams.get('configuration', []):
        record = decode_record(payload)
        if record is not None and record['kind'] == SNAPSHOT_KIND:
            ids.append(record['snapshot_id'])
    return len(set(ids)), len(ids)


@pytest.fixture
def short_rig():
    rig = ConfigurationSimulation(seed=5, settings=SHORT)
    for number in range(6):
        rig.add(f'i{number}', 'north', f'north-{number % 3}')
    rig.wait(7_000)
    rig.propose('i0', 'contract:m', 0, make_contract('m', 0.2))
    rig.wait(2_000)
    return rig


def test_snapshots_follow_one_another_without_a_crowd(short_rig):
    short_rig.wait(600_000)
    snapshots, parts = count_snapshots(short_rig.log)
    assert 7 <= snapshots <= 12
    assert parts >= 2 * snapshots


def test_configuration_outlives_the_retention(short_rig):
    """All instances are replaced after the log has dropped the amendment.

    What is left of the contract is the snapshot that was written meanwhile.
    """
    before = short_rig.managers['i0'].state.digest
    short_rig.wait(120_000)
    short_rig.log.expire('configuration', 1)
    for name in list(short_rig.managers):
        short_rig.stop(name)
    for number in range(6):
        short_rig.add(f'n{number}', 'north', f'north-{number % 3}')
    short_rig.wait(10_000)
    keepers = short_rig.managers.values()
    assert [keeper.ready for keeper in keepers] == [True] * 6
    assert {keeper.state.digest for keeper in keepers} == {before}


def test_outage_longer_than_the_retention_is_healed_by_those_who_run(short_rig):
    """The log is down for an hour and comes back empty but for its offsets.

    The instances that run are all that is left of the configuration; unless
    one of them writes it down, the next restart of everything loses it.
    """
    before = short_rig.managers['i0'].state.digest
    short_rig.log.is_up = False
    short_rig.wait(3_600_000)
    end = len(short_rig.log.streams['configuration'])
    short_rig.log.expire('configuration', end)
    short_rig.log.is_up = True
    short_rig.wait(30_000)
    assert count_snapshots(short_rig.log)[0] >= 1
    for name in list(short_rig.managers):
        short_rig.stop(name)
    short_rig.add('n0')
    short_rig.wait(20_000)
    assert short_rig.managers['n0'].ready
    assert short_rig.managers['n0'].state.digest == before


def test_log_without_a_usable_snapshot_keeps_a_new_instance_out(short_rig):
    """A new instance finds a log whose beginning is gone, and no peer.

    Serving with the few amendments that are left would be worse than nothing.
    """
    short_rig.log.expire('configuration', 1)
    for name in list(short_rig.managers):
        short_rig.stop(name)
    short_rig.add('n0')
    short_rig.wait(30_000)
    assert not short_rig.managers['n0'].ready
    reply = short_rig.replies[short_rig.propose('n0', 'contract:x', 0, None)]
    assert reply.code is ResultCode.NOT_READY
