"""A snapshot replaces all records before it."""

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
    """Return all parts of the fold that affect later records."""
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
    for offset, (item, kind, share, state) in enumerate(changes):
        name = item.partition(':')[2] or 'x'
        document = make_endpoint(name, state)
        if item.startswith('contract'):
            owner = 'a' if kind == 'token' else name
            document = {**make_contract(owner, share), 'organisation': name}
        base_version = fold.state.versions.get(item, 0) + (kind == 'old')
        record_id = 'r0' if kind == 'repeat' else f'r{offset}'
        proposed = None if kind == 'remove' else document
        payload = make_payload(offset, item, base_version, proposed, record_id)
        record = LogRecord(offset, b'{' if kind == 'garbage' else payload)
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
def test_records_of_the_ring_fold_to_the_same_as_those_of_the_log(changes):
    whole, records = fold_changes(changes)
    ring = RecordRing(10_000_000)
    for record in records:
        ring.add(record)
    other = ConfigurationFold()
    for record in ring.read_after(-1, 10_000_000):
        other.apply(LogRecord(record.offset, record.payload))
    assert observe(other) == observe(whole)


def test_record_too_large_for_a_message_is_sent_with_an_empty_payload():
    """A foreign tool appends an amendment with 500 000 trailing spaces.

    Its full payload would not fit into any message, so all instances that do not
    read the log would be stuck before it.
    """
    payload = make_payload(0, 'contract:a', 0, make_contract('a'), 'r0')
    ring = RecordRing(10_000_000)
    record = LogRecord(0, payload + b' ' * 500_000)
    ring.add(record)
    (pushed,) = ring.read_after(-1, 1_000)
    assert pushed.payload == b''
    whole, other = ConfigurationFold(), ConfigurationFold()
    whole.apply(record)
    other.apply(LogRecord(0, pushed.payload))
    assert observe(whole) == observe(other)
    assert not whole.verdicts.all()[0].accepted


@pytest.mark.parametrize('position', [0, 10, -1])
def test_corrupt_state_is_rejected(fold, amend, position):
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


def test_parts_of_two_writers_can_be_interleaved():
    """Two instances write a snapshot at the same time."""
    assembler = SnapshotAssembler()
    assert assembler.add(make_part('x', 0, 2, b'ab'), 10) is None
    assert assembler.add(make_part('y', 0, 2, b'12'), 11) is None
    assert assembler.add(make_part('y', 1, 2, b'3'), 12).data == b'123'
    snapshot = assembler.add(make_part('x', 1, 2, b'c'), 13)
    assert snapshot.data == b'abc'
    assert snapshot.first_part_offset == 10


def test_split_state_is_restored_by_joining_its_parts():
    data = random.Random(1).randbytes(1_000)
    parts = split_state(data, 300)
    assert [len(part) for part in parts] == [300, 300, 300, 100]
    assert b''.join(parts) == data


SHORT_INTERVALS = ConfigurationSettings(
    snapshot_interval_ms=60_000,
    snapshot_jitter_ms=20_000,
    snapshot_part_bytes=400,
)


def count_snapshots(log):
    """Return the number of snapshots in the log, and the number of their parts."""
    snapshot_ids = []
    for payload in log.streams.get('configuration', []):
        record = decode_record(payload)
        if record is not None and record['kind'] == SNAPSHOT_KIND:
            snapshot_ids.append(record['snapshot_id'])
    return len(set(snapshot_ids)), len(snapshot_ids)


@pytest.fixture
def short_interval_cluster():
    cluster = ConfigurationSimulation(seed=5, settings=SHORT_INTERVALS)
    for number in range(6):
        cluster.add(f'i{number}', 'north', f'north-{number % 3}')
    cluster.wait(7_000)
    cluster.propose('i0', 'contract:m', 0, make_contract('m', 0.2))
    cluster.wait(2_000)
    return cluster


def test_instances_do_not_write_redundant_snapshots(short_interval_cluster):
    short_interval_cluster.wait(600_000)
    snapshots, parts = count_snapshots(short_interval_cluster.log)
    assert 7 <= snapshots <= 12
    assert parts >= 2 * snapshots


def test_configuration_survives_the_expiry_of_its_records(short_interval_cluster):
    """All instances are replaced after the log has expired the amendment.

    Only the snapshot that was written meanwhile still contains the contract.
    """
    before = short_interval_cluster.managers['i0'].state.digest
    short_interval_cluster.wait(120_000)
    short_interval_cluster.log.expire('configuration', 1)
    for name in list(short_interval_cluster.managers):
        short_interval_cluster.stop(name)
    for number in range(6):
        short_interval_cluster.add(f'n{number}', 'north', f'north-{number % 3}')
    short_interval_cluster.wait(10_000)
    managers = short_interval_cluster.managers.values()
    assert [manager.ready for manager in managers] == [True] * 6
    assert {manager.state.digest for manager in managers} == {before}


def test_running_instances_restore_a_log_after_an_outage_beyond_the_retention(
    short_interval_cluster,
):
    """The log is unavailable for an hour, and all its records expire meanwhile.

    Only the running instances still hold the configuration.  Unless one of them
    writes a snapshot, the next restart of all instances loses it.
    """
    before = short_interval_cluster.managers['i0'].state.digest
    short_interval_cluster.log.is_up = False
    short_interval_cluster.wait(3_600_000)
    end = len(short_interval_cluster.log.streams['configuration'])
    short_interval_cluster.log.expire('configuration', end)
    short_interval_cluster.log.is_up = True
    short_interval_cluster.wait(30_000)
    assert count_snapshots(short_interval_cluster.log)[0] >= 1
    for name in list(short_interval_cluster.managers):
        short_interval_cluster.stop(name)
    short_interval_cluster.add('n0')
    short_interval_cluster.wait(20_000)
    assert short_interval_cluster.managers['n0'].ready
    assert short_interval_cluster.managers['n0'].state.digest == before


def test_new_instance_is_not_ready_without_a_usable_snapshot(short_interval_cluster):
    """A new instance finds a log whose first records have expired, and no peer.

    Serving with only the remaining amendments would be worse than not serving.
    """
    short_interval_cluster.log.expire('configuration', 1)
    for name in list(short_interval_cluster.managers):
        short_interval_cluster.stop(name)
    short_interval_cluster.add('n0')
    short_interval_cluster.wait(30_000)
    assert not short_interval_cluster.managers['n0'].ready
    reply = short_interval_cluster.replies[
        short_interval_cluster.propose('n0', 'contract:x', 0, None)
    ]
    assert reply.code is ResultCode.NOT_READY
