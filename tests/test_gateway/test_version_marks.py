"""Tests of the marks of versions, and of their changes in the store."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from stream_simulation import StreamFleet

from savorychute.gateway.store.keyed_record import KeyedRecord
from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.gateway.streams.stored_origins import (
    decode_era,
    decode_groups,
    decode_marks,
    encode_marks,
    make_service_key,
)
from savorychute.gateway.streams.stream_origin import StreamOrigin
from savorychute.gateway.streams.version_marks import (
    FORGET_MS,
    MAX_WAIT_MS,
    REMOVE_MS,
    Mark,
    VersionMarks,
)
from savorychute.testing.virtual_loop import run_virtual

V1 = StreamOrigin('pool', 'v1')
V2 = StreamOrigin('pool', 'v2')
STEP_MS = 100


def observe(marks, origins, start_ms, duration_ms):
    """Observe some versions for a while; return the time after it."""
    for now_ms in range(start_ms, start_ms + duration_ms, STEP_MS):
        marks.observe(origins, now_ms)
    return start_ms + duration_ms


@pytest.fixture
def marks():
    """Marks of an instance that lists one version, which is marked."""
    marks = VersionMarks()
    marks.apply_listing({V1: 7}, 0, complete=True)
    marks.observe([V1], 0)
    return marks


def test_version_begins_streams_once_it_is_marked(marks):
    marks.observe([V1, V2], 100)
    assert marks.may_begin(V1)
    assert not marks.may_begin(V2)
    marks.add(Mark(V2, 8), 200)
    assert marks.may_begin(V2)


def test_nothing_begins_streams_before_the_marks_are_read():
    """Guards against an instance that takes 'I know no mark' for 'there is none'."""
    marks = VersionMarks()
    marks.observe([V1], 0)
    assert not marks.may_begin(V1)


def test_version_that_comes_back_after_a_while_is_marked_anew(marks):
    """Guards against a mark that another instance has removed meanwhile."""
    now_ms = observe(marks, [V2], 100, FORGET_MS)
    marks.observe([V1, V2], now_ms)
    assert not marks.may_begin(V1)
    marks.add(Mark(V1, 7), now_ms)
    assert not marks.may_begin(V1)
    marks.add(Mark(V1, 9), now_ms)
    assert marks.may_begin(V1)


def test_version_that_was_missing_for_a_moment_stays_marked(marks):
    now_ms = observe(marks, [], 100, FORGET_MS // 2)
    marks.observe([V1], now_ms)
    assert marks.may_begin(V1)


def test_instance_that_was_paused_trusts_no_mark(marks):
    """Guards against what other instances have removed during the pause."""
    marks.observe([V1], REMOVE_MS + FORGET_MS)
    assert not marks.may_begin(V1)


def test_marks_are_written_in_turn(marks):
    marks.observe([V1, V2], 1_000)
    assert marks.services_to_mark(lambda _: 300, 1_200) == frozenset()
    assert marks.services_to_mark(lambda _: 300, 1_300) == {'pool'}
    assert marks.unmarked_versions('pool') == {'v2'}


def test_mark_that_streams_wait_for_is_written_at_once(marks):
    marks.observe([V2], 1_000)
    assert not marks.hasten('pool', 1_000)
    assert marks.services_to_mark(lambda _: 300, 1_000) == {'pool'}
    assert marks.hasten('pool', 1_000 + MAX_WAIT_MS)


def test_wait_for_a_mark_begins_anew_with_each_missing_one(marks):
    """Guards against a version that begins streams unmarked for an earlier wait."""
    marks.observe([V2], 1_000)
    marks.hasten('pool', 1_000)
    marks.end_wait('pool')
    assert not marks.hasten('pool', 9_000)


def test_mark_is_removed_long_after_its_version_has_left(marks):
    now_ms = observe(marks, [V2], 100, REMOVE_MS - 200)
    assert marks.removable_marks(now_ms) == []
    now_ms = observe(marks, [V2], now_ms, 200)
    assert marks.removable_marks(now_ms) == [Mark(V1, 7)]


def test_new_mark_is_not_removed_soon(marks):
    """Guards against the removal of a mark that was just written again."""
    now_ms = observe(marks, [V2], 100, 2 * REMOVE_MS)
    marks.add(Mark(V1, 8), now_ms)
    assert marks.removable_marks(now_ms + 1_000) == []


def test_service_counts_as_mixed_while_a_second_version_is_marked_or_recent(marks):
    assert marks.mixed_services(0) == frozenset()
    marks.observe([V1, V2], 100)
    assert marks.mixed_services(100) == {'pool'}
    marks.add(Mark(V2, 8), 200)
    now_ms = observe(marks, [V2], 200, 2 * REMOVE_MS)
    assert marks.mixed_services(now_ms) == {'pool'}
    marks.remove(V1)
    assert marks.mixed_services(now_ms) == frozenset()


def test_incomplete_listing_removes_no_mark(marks):
    marks.apply_listing({}, 100, complete=False)
    assert marks.may_begin(V1)
    marks.apply_listing({}, 100, complete=True)
    assert not marks.may_begin(V1)


# -- records of the store


def test_stored_marks_round_trip():
    value = encode_marks('pool', {'v1': 3, '': 4})
    records = [
        KeyedRecord(0, make_service_key('pool'), value),
        KeyedRecord(1, '@era', b'12'),
    ]
    assert decode_marks(records) == {V1: 3, StreamOrigin('pool', ''): 4}
    assert decode_era(records) == 12


@pytest.mark.parametrize(
    'record',
    [KeyedRecord(0, 'x', b'{"service":1}'), UnreadableRecord(0, None, 'cut')],
)
def test_unreadable_mark_hides_what_it_may_hold(record):
    """Guards against a proof by marks of which one cannot be read."""
    value = encode_marks('pool', {'v1': 3})
    assert decode_marks([KeyedRecord(0, 'y', value), record]) is None


def test_log_record_of_another_writer_is_ignored():
    assert decode_groups(b'\xff\0') == []
    assert decode_groups(b'[["pool"]]') == []


# -- changes in the store


def run_fleet(scenario, versions=('v1',), instances=4):
    """Run a scenario with instances that list some versions."""

    async def main():
        fleet = StreamFleet(instances, seed=3)
        for number, version in enumerate(versions):
            fleet.add_endpoint(f'e{number}', version)
        await fleet.start()
        await asyncio.sleep(4)
        await scenario(fleet)
        fleet.stop()
        return fleet

    return run_virtual(main(), sockets=False)


def newest_records(fleet):
    return {record.key: record for record in fleet.store.marks}.values()


def marked(fleet):
    """Return the versions that the store marks."""
    stamps = decode_marks(newest_records(fleet))
    return {origin.version for origin in stamps}


def test_all_versions_are_marked_with_one_write():
    """Guards against a moment in which the first of two marks seems to be a proof."""

    async def scenario(fleet):
        del fleet

    fleet = run_fleet(scenario, ('v1', 'v2', 'v3'))
    assert marked(fleet) == {'v1', 'v2', 'v3'}
    assert [record.key for record in fleet.store.marks].count('@era') == 1
    assert len(fleet.store.marks) == 2


def test_new_version_is_marked_by_one_instance_and_known_to_all():
    async def scenario(fleet):
        fleet.store.calls.clear()
        fleet.add_endpoint('e9', 'v2')
        await asyncio.sleep(2)
        for instance in fleet.alive():
            assert instance.origins.marks.may_begin(V2)

    fleet = run_fleet(scenario)
    assert marked(fleet) == {'v1', 'v2'}
    assert fleet.store.calls['mark'] == 1


def test_mark_of_a_version_that_has_left_is_removed_for_all():
    async def scenario(fleet):
        fleet.add_endpoint('e9', 'v2')
        await asyncio.sleep(2)
        fleet.remove_endpoint('e0')
        await asyncio.sleep(REMOVE_MS / 1_000 - 1)
        assert marked(fleet) == {'v1', 'v2'}
        await asyncio.sleep(6)
        for instance in fleet.alive():
            now_ms = int(asyncio.get_running_loop().time() * 1_000)
            assert instance.origins.marks.mixed_services(now_ms) == frozenset()

    assert marked(run_fleet(scenario)) == {'v2'}


def test_mark_that_was_written_again_unnoticed_is_not_removed():
    """Guards against the removal of a mark by an instance that knows an older one."""

    async def scenario(fleet):
        fleet.add_endpoint('e9', 'v2')
        await asyncio.sleep(2)
        fleet.remove_endpoint('e0')
        await asyncio.sleep(REMOVE_MS / 1_000 - 2)
        value = encode_marks('pool', {'v1': 99, 'v2': 98})
        fleet.store.marks.append(KeyedRecord(9, make_service_key('pool'), value))
        await asyncio.sleep(6)

    assert marked(run_fleet(scenario)) == {'v1', 'v2'}


def test_lost_mark_of_a_version_that_has_just_left_is_written_again():
    """Guards against a proof by marks that lack what nobody lists any more."""

    async def scenario(fleet):
        fleet.add_endpoint('e9', 'v2')
        await asyncio.sleep(2)
        fleet.remove_endpoint('e9')
        await asyncio.sleep(2)
        fleet.store.go_back(1)
        assert marked(fleet) == {'v1'}
        await asyncio.sleep(6)

    assert marked(run_fleet(scenario)) == {'v1', 'v2'}


def test_marks_are_complete_only_some_seconds_after_the_store_went_back():
    """Guards against a proof before endpoints have written their entries again."""

    async def scenario(fleet):
        fleet.store.go_back(0)
        await asyncio.sleep(2.5)
        assert decode_era(newest_records(fleet)) == 1
        await asyncio.sleep(4)

    assert decode_era(newest_records(run_fleet(scenario))) == 2


def test_marks_that_the_store_has_lost_are_written_again():
    """Guards against a proof by marks of an older copy of the store."""
    results = SimpleNamespace(before=None, after=None)

    async def find(fleet):
        found = []
        finder = fleet.alive()[0].origins.finder
        finder.find(b'', 'pool', found.append)
        await asyncio.sleep(1)
        return found[0].origin

    async def scenario(fleet):
        fleet.add_endpoint('e9', 'v2')
        await asyncio.sleep(2)
        fleet.store.go_back(1)
        assert marked(fleet) == {'v1'}
        results.before = await find(fleet)
        await asyncio.sleep(6)
        results.after = await find(fleet)

    fleet = run_fleet(scenario)
    assert marked(fleet) == {'v1', 'v2'}
    assert (results.before, results.after) == (None, None)
    assert decode_era(newest_records(fleet)) == 2
