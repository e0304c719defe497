"""Recording, writing and searching of audit entries."""

from __future__ import annotations

import msgspec
import pytest

from benches.configuration_rig import FakeLog
from savorychute.actions.append_record import AppendRecord
from savorychute.actions.operator_reply import OperatorReply
from savorychute.actions.read_records import ReadRecords
from savorychute.audit.audit_entry import AuditEntry
from savorychute.audit.audit_kind import AuditKind
from savorychute.audit.audit_query import AuditQuery
from savorychute.audit.audit_settings import AuditSettings
from savorychute.audit.audit_trail import AuditTrail
from savorychute.configuration.log_budget import LogBudget, LogBudgetSettings
from savorychute.result_code import ResultCode


def make_entry(item: str, operator: str = 'asha', lasting: bool = True) -> AuditEntry:
    return AuditEntry(AuditKind.AMENDMENT, item, operator, '1', '2', 'why', lasting)


def run_actions(trail: AuditTrail, log: FakeLog, actions: list, now_ms: int) -> list:
    """Execute actions until only replies to operators are left."""
    replies = []
    while actions:
        action = actions.pop(0)
        if isinstance(action, AppendRecord):
            actions += trail.append_finished(log.append(action), now_ms)
        elif isinstance(action, ReadRecords):
            actions += trail.records_read(log.read(action), now_ms)
        elif isinstance(action, OperatorReply):
            replies.append(action)
    return replies


def tick(trail: AuditTrail, log: FakeLog, now_ms: int) -> None:
    """Tick for a few milliseconds, until an append is due."""
    for later_ms in range(3):
        run_actions(trail, log, trail.tick(now_ms + later_ms), now_ms + later_ms)


def entries_of(reply: OperatorReply) -> list:
    return msgspec.json.decode(reply.document)['entries']


def make_trail(instance: str, settings: AuditSettings) -> AuditTrail:
    """Return a trail whose appends wait at most one millisecond."""
    limits = LogBudgetSettings(log_appends_per_s=10_000, start_hold_ms=0)
    return AuditTrail(settings, instance, LogBudget(limits))


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def trail():
    return make_trail('a.1', AuditSettings(batch_entries=3, max_pending=5))


def test_lasting_entries_are_written_in_batches(trail, log):
    for number in range(4):
        trail.record(make_entry(f'contract:{number}'), now_ms=10)
    tick(trail, log, 20)
    assert log.appends == 1
    tick(trail, log, 30)
    assert log.appends == 1
    tick(trail, log, 2_000)
    assert log.appends == 2
    assert [each.offset for each in trail.query()] == [0, 0, 0, 1]


def test_query_filters_by_item_operator_and_offset(trail, log):
    trail.record(make_entry('contract:a', 'asha'), now_ms=1)
    trail.record(make_entry('contract:b', 'binu'), now_ms=2)
    tick(trail, log, 2_000)
    trail.record(make_entry('contract:a', 'binu'), now_ms=3_000)
    tick(trail, log, 9_000)
    assert len(trail.query(item='contract:a')) == 2
    assert len(trail.query(operator='binu')) == 2
    assert [each.offset for each in trail.query(since_offset=1)] == [1]


def test_transient_entries_stay_out_of_the_log(trail, log):
    trail.record(make_entry('member:b', '', lasting=False), now_ms=1)
    tick(trail, log, 5_000)
    assert log.appends == 0
    assert len(trail.query(item='member:b')) == 1


def test_search_finds_entries_of_other_instances(trail, log):
    trail.record(make_entry('contract:a'), now_ms=1)
    tick(trail, log, 2_000)
    log.append(AppendRecord('x', 'audit', b'garbage'))
    other = AuditTrail(AuditSettings(read_records=1), 'b.1')
    other.record(make_entry('contract:a', lasting=False), now_ms=3_000)
    query = AuditQuery(item='contract:a')
    replies = run_actions(other, log, other.start_search('c1', query, 4_000), 4_000)
    assert [each['instance'] for each in entries_of(replies[0])] == ['a.1', 'b.1']
    assert replies[0].code is ResultCode.OK


def test_batch_written_twice_is_returned_once(trail, log):
    """The response to an append is lost, and the batch is sent again."""
    log.lose_replies = True
    trail.record(make_entry('contract:a'), now_ms=1)
    tick(trail, log, 2_000)
    log.lose_replies = False
    tick(trail, log, 60_000)
    assert log.appends == 2
    other = AuditTrail(AuditSettings(), 'b.1')
    actions = other.start_search('c1', AuditQuery(), 61_000)
    assert len(entries_of(run_actions(other, log, actions, 61_000)[0])) == 1


def test_search_during_an_outage_reports_the_log_as_unavailable(trail, log):
    log.is_up = False
    trail.record(make_entry('contract:a'), now_ms=1)
    actions = trail.start_search('c1', AuditQuery(), 10)
    reply = run_actions(trail, log, actions, 10)[0]
    assert reply.code is ResultCode.LOG_UNAVAILABLE
    assert len(entries_of(reply)) == 1


def test_search_without_a_response_of_the_log_ends(trail):
    assert trail.start_search('c1', AuditQuery(), 10)
    assert trail.tick(1_000) == []
    reply = trail.tick(4_000)[0]
    assert reply.code is ResultCode.LOG_UNAVAILABLE


def test_long_outage_drops_and_counts_the_oldest_entries(trail, log):
    """The log is unavailable for hours while entries are still recorded.

    Memory is limited, so entries are dropped, but the drops must be counted.
    """
    log.is_up = False
    for number in range(20):
        trail.record(make_entry(f'contract:{number}'), now_ms=number)
        tick(trail, log, number * 10_000)
    assert trail.dropped == 13
    log.is_up = True
    for step in range(10):
        now_ms = 1_000_000 + step * 10_000
        tick(trail, log, now_ms)
    kept = [each.entry.item for each in trail.query() if each.offset >= 0]
    assert len(kept) == 7
    assert kept[-1] == 'contract:19'


def test_batches_stay_within_the_budget(log):
    budget = LogBudget(LogBudgetSettings(log_appends_per_s=10, start_hold_ms=0))
    trail = AuditTrail(AuditSettings(batch_delay_ms=0), 'a.1', budget)
    budget.set_members(10)
    for now_ms in range(0, 100_000, 100):
        trail.record(make_entry('contract:a'), now_ms)
        tick(trail, log, now_ms)
    assert budget.appends_per_s == pytest.approx(0.1)
    assert 9 <= log.appends <= 11


def test_full_reply_states_the_next_offset(log):
    """An operator requests all entries since offset 0."""
    settings = AuditSettings(batch_entries=2, max_results=3, read_records=1)
    trail = make_trail('a.1', settings)
    for number in range(8):
        trail.record(make_entry(f'contract:{number}'), now_ms=number)
        tick(trail, log, 10_000 * (number + 1))
    seen, offset, complete = [], 0, False
    while not complete:
        query = AuditQuery(since_offset=offset)
        reply = run_actions(
            trail, log, trail.start_search('c1', query, 99_000), 99_000
        )[0]
        reply_document = msgspec.json.decode(reply.document)
        seen += [each['item'] for each in reply_document['entries']]
        assert offset < reply_document['next_offset']
        offset, complete = reply_document['next_offset'], reply_document['complete']
    assert seen == [f'contract:{number}' for number in range(8)]
