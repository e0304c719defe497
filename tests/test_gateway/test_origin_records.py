"""Tests of the records of streams: their table, who gets them, and lookups."""

from __future__ import annotations

import pytest
from gateway_fakes import START_MS, FakeOriginStore, FakeTimers

from savorychute.clock import ManualClock
from savorychute.gateway.streams.lookup_budget import MAX_LOOKUPS, LookupBudget
from savorychute.gateway.streams.origin_finder import MAX_LOOKUP_MS, OriginFinder
from savorychute.gateway.streams.origin_group import (
    OriginGroup,
    StreamRecord,
    group_records,
)
from savorychute.gateway.streams.origin_store import MarkedVersions
from savorychute.gateway.streams.origin_table import OWN, OriginTable
from savorychute.gateway.streams.origin_teller import KEEPERS, OriginTeller
from savorychute.gateway.streams.stream_news import StreamNews
from savorychute.gateway.streams.stream_origin import (
    KEY_BYTES,
    OWNER_BYTES,
    StreamOrigin,
    make_stream_key,
)
from savorychute.gateway.streams.stream_question import StreamQuestion
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

V1 = StreamOrigin('pool', 'v1')
V2 = StreamOrigin('pool', 'v2')
LIFETIME_MS = 16_000
KEY = make_stream_key('kochi', 'a1')
OTHER_KEY = make_stream_key('kochi', 'a2')


def make_member(number, incarnation=1):
    return MemberAddress(
        f'k{number}', incarnation, 'kerala', f'hall-{number % 3}', '10.0.0.1', 80, 70
    )


def make_view(count=8, own=0, suspects=(), incarnations=None):
    incarnations = incarnations or {}
    alive = tuple(make_member(n, incarnations.get(n, 1)) for n in range(count))
    return MemberView(alive[own], alive, frozenset(f'k{each}' for each in suspects))


class Sent(list):
    """The messages that a part sends."""

    def to(self, name):
        return [each.message for each in self if each.instance == name]

    @property
    def receivers(self):
        return {each.instance for each in self}


# -- keys and the table


def test_key_of_an_attempt_differs_between_organisations():
    """Guards against a caller that names the stream of another organisation."""
    assert make_stream_key('kochi', 'a1') != make_stream_key('thrissur', 'a1')


def test_key_differs_although_two_organisations_share_a_table():
    """Guards against a digest of the organisation that is too short to tell them apart."""
    owners = {}
    for number in range(2_000):
        owner = make_stream_key(str(number), 'a1')[:OWNER_BYTES]
        if owner in owners:
            break
        owners[owner] = number
    keys = {make_stream_key(str(each), 'a1') for each in (number, owners[owner])}
    assert len(keys) == 2


@pytest.mark.parametrize('attempt_id', ['', 'x' * 100_000, '\0', 'ä€'])
def test_key_has_a_fixed_size_for_any_id(attempt_id):
    assert len(make_stream_key('kochi', attempt_id)) == KEY_BYTES


def test_record_is_found_until_its_lifetime_ends():
    table = OriginTable()
    table.record(KEY, V1, OWN, 100, 0)
    table.record(KEY, V1, OWN, 100, 50)
    assert table.find(KEY, 149).origin == V1
    assert table.find(KEY, 150) is None
    table.expire(150)
    assert len(table) == 0


def test_id_that_was_used_for_two_streams_names_neither():
    """Guards against a guess between two records of a reused id."""
    table = OriginTable()
    table.record(KEY, V1, OWN, 100, 0)
    table.record(KEY, V2, 'k1', 100, 0)
    table.record(KEY, V1, 'k2', 100, 0)
    assert table.find(KEY, 1).origin is None


def test_streams_of_one_organisation_do_not_displace_those_of_others():
    table = OriginTable(max_records=10)
    table.record(KEY, V1, OWN, 100, 0)
    for number in range(50):
        table.record(make_stream_key('flood', str(number)), V1, OWN, 100, 0)
    assert table.find(KEY, 1).origin == V1
    assert (len(table), table.dropped) == (10, 41)


def test_groups_hold_the_records_of_one_origin_and_lifetime():
    records = [
        StreamRecord(KEY, V1, 10),
        StreamRecord(OTHER_KEY, V1, 10),
        StreamRecord(KEY, V2, 10),
    ]
    groups = group_records(records, frozenset({'pool'}))
    assert [group.stored for group in groups] == [True, True]
    assert [each for group in groups for each in group.records()] == records


def test_incomplete_key_at_the_end_of_a_message_is_ignored():
    group = OriginGroup('pool', 'v1', 10, KEY + b'abc')
    assert [record.key for record in group.records()] == [KEY]


# -- who gets the records


@pytest.fixture
def clock():
    return ManualClock(START_MS)


@pytest.fixture
def sent():
    return Sent()


@pytest.fixture
def teller(clock, sent):
    teller = OriginTeller(clock, FakeTimers(clock))
    teller.send = sent.append
    teller.set_view(make_view())
    return teller


def keys_in(messages):
    return [
        record.key
        for message in messages
        for group in message.groups
        for record in group.records()
    ]


def test_record_is_sent_at_once_to_instances_of_several_failure_domains(teller, sent):
    teller.tell(KEY, V1, LIFETIME_MS)
    assert len(sent.receivers) == KEEPERS
    domains = {int(name[1:]) % 3 for name in sent.receivers}
    assert len(domains) == 3
    assert 'k0' not in sent.receivers


def test_busy_instance_sends_fewer_messages_than_it_has_streams(clock, sent):
    timers = FakeTimers(clock)
    teller = OriginTeller(clock, timers)
    teller.send = sent.append
    teller.set_view(make_view())
    keys = [make_stream_key('kochi', str(number)) for number in range(280)]
    for key in keys:
        teller.tell(key, V1, LIFETIME_MS)
        timers.advance(36)
    timers.advance(1_000)
    receiver = min(sent.receivers)
    assert sorted(keys_in(sent.to(receiver))) == sorted(keys)
    assert len(sent.to(receiver)) < len(keys) / 3


def test_new_keeper_gets_the_records_of_running_streams(teller, sent):
    """Guards against records that vanish as instances are restarted one by one."""
    teller.tell(KEY, V1, LIFETIME_MS)
    teller.tell(OTHER_KEY, V1, LIFETIME_MS)
    teller.forget(OTHER_KEY)
    keeper = min(sent.receivers)
    sent.clear()
    number = int(keeper[1:])
    teller.set_view(make_view(incarnations={number: 2}))
    assert keys_in(sent.to(keeper)) == [KEY]
    assert sent.receivers == {keeper}


def test_suspect_is_replaced_as_keeper(teller, sent):
    teller.tell(KEY, V1, LIFETIME_MS)
    keepers = set(sent.receivers)
    sent.clear()
    teller.set_view(make_view(suspects=[int(min(keepers)[1:])]))
    assert len(sent.receivers) == 1
    assert sent.receivers.isdisjoint(keepers)


def test_only_one_instance_is_asked_to_store_a_record(teller, sent):
    collected = []
    teller.on_collected = collected.extend
    teller.set_stored_services(frozenset({'pool'}))
    teller.tell(KEY, V1, LIFETIME_MS)
    stored = [
        each.instance
        for each in sent
        if any(group.stored for group in each.message.groups)
    ]
    assert len(stored) + len(collected) == 1


def test_records_of_running_streams_are_stored_when_a_second_version_appears(
    teller, sent
):
    """Guards against streams that began while the service had one version."""
    collected = []
    teller.on_collected = collected.extend
    teller.tell(KEY, V1, LIFETIME_MS)
    sent.clear()
    teller.set_stored_services(frozenset({'pool'}))
    stored = [group for each in sent for group in each.message.groups if group.stored]
    assert len(stored) + len(collected) == 1


def test_records_are_stored_again_by_a_new_collector(teller, sent):
    """Guards against records that the last collector has not written."""
    collected = []
    teller.on_collected = collected.extend
    teller.set_stored_services(frozenset({'pool'}))
    teller.tell(KEY, V1, LIFETIME_MS)
    for number in range(1, 8):
        collector = teller._collector
        sent.clear()
        collected.clear()
        teller.set_view(make_view(incarnations={number: 2}))
        stored = [
            group for each in sent for group in each.message.groups if group.stored
        ]
        expected = int(teller._collector != collector)
        assert len(stored) + len(collected) == expected


# -- lookups


class Lookups:
    """A finder whose messages and findings are recorded."""

    def __init__(self, marks=None, view=None):
        self.clock = ManualClock(START_MS)
        self.timers = FakeTimers(self.clock)
        self.table = OriginTable()
        self.store = FakeOriginStore(marks)
        self.finder = OriginFinder(self.table, self.store, self.clock, self.timers)
        self.sent = Sent()
        self.finder.send = self.sent.append
        if view is not None:
            self.finder.set_view(view)
        self.findings = []

    def find(self, key=KEY, service='pool'):
        self.finder.find(key, service, self.findings.append)

    def answer(self, name, origin=None):
        groups = ()
        if origin is not None:
            groups = group_records([StreamRecord(KEY, origin, LIFETIME_MS)])
        self.finder.handle_news(name, groups)
        self.finder.handle_response(name, KEY)

    @property
    def sources(self):
        return [finding.source for finding in self.findings]


def test_own_record_is_found_at_once():
    lookups = Lookups(view=make_view())
    lookups.table.record(KEY, V1, OWN, LIFETIME_MS, START_MS)
    lookups.find()
    assert (lookups.findings[0].origin, lookups.sources) == (V1, [OWN])
    assert lookups.sent == []


def test_all_other_instances_are_asked():
    """Guards against a record whose keepers have changed since."""
    lookups = Lookups(view=make_view())
    lookups.find()
    assert lookups.sent.receivers == {f'k{number}' for number in range(1, 8)}
    lookups.answer('k3')
    assert lookups.findings == []
    lookups.answer('k5', V2)
    assert (lookups.findings[0].origin, lookups.sources) == (V2, ['k5'])


def test_instance_that_joins_during_a_lookup_is_asked():
    """Guards against a lookup right after a start, before others are known."""
    lookups = Lookups()
    lookups.find()
    assert lookups.findings == []
    lookups.finder.set_view(make_view(2))
    lookups.answer('k1', V1)
    assert lookups.findings[0].origin == V1


def test_lost_question_is_sent_again():
    lookups = Lookups(view=make_view(3))
    lookups.find()
    lookups.answer('k1')
    lookups.sent.clear()
    lookups.timers.advance(50)
    assert lookups.sent.receivers == {'k2'}


@pytest.mark.parametrize('marks', [None, MarkedVersions(frozenset({V1, V2}), True)])
def test_origin_that_nobody_knows_stays_unknown(marks):
    """Guards against a guess when instances and the store know nothing."""
    lookups = Lookups(marks, make_view(2))
    lookups.find()
    lookups.answer('k1')
    assert (lookups.findings[0].origin, lookups.sources) == (None, ['unknown-origin'])


def test_silent_instances_do_not_hold_a_request_for_long():
    lookups = Lookups(view=make_view(2))
    lookups.find()
    lookups.timers.advance(MAX_LOOKUP_MS)
    assert lookups.sources == ['unknown-origin']


def test_only_marked_version_is_a_proof():
    lookups = Lookups(MarkedVersions(frozenset({V1}), True), make_view(2))
    lookups.find()
    lookups.answer('k1')
    assert (lookups.findings[0].origin, lookups.sources) == (V1, ['only-version'])


@pytest.mark.parametrize(
    'marks, service',
    [
        (MarkedVersions(frozenset({V1}), False), 'pool'),
        (MarkedVersions(frozenset({V1}), True), ''),
        (MarkedVersions(frozenset({V1}), True), 'desk'),
        (MarkedVersions(frozenset(), True), 'pool'),
    ],
    ids=['older-copy', 'several-services', 'other-service', 'no-mark'],
)
def test_marks_that_prove_nothing_are_not_used(marks, service):
    lookups = Lookups(marks, make_view(1))
    lookups.find(service=service)
    assert lookups.findings[0].origin is None


def test_stream_without_a_name_is_known_only_by_its_service():
    lookups = Lookups(MarkedVersions(frozenset({V1}), True), make_view(3))
    lookups.find(key=b'')
    lookups.store.marks = MarkedVersions(frozenset({V1, V2}), True)
    lookups.find(key=b'')
    assert [finding.origin for finding in lookups.findings] == [V1, None]
    assert lookups.sent == []


def test_lookups_for_one_stream_share_the_questions():
    lookups = Lookups(view=make_view(3))
    lookups.find()
    lookups.find()
    assert len(lookups.sent) == 2
    lookups.answer('k1', V1)
    assert [finding.origin for finding in lookups.findings] == [V1, V1]


def test_answer_holds_what_is_known_and_what_is_not():
    lookups = Lookups(view=make_view())
    lookups.table.record(KEY, V1, OWN, LIFETIME_MS, START_MS)
    answer = lookups.finder.respond(StreamQuestion(KEY + OTHER_KEY))
    assert isinstance(answer, StreamNews)
    assert keys_in([answer]) == [KEY]
    assert answer.answered == KEY + OTHER_KEY


def test_one_organisation_cannot_use_up_the_lookups_of_others():
    """Guards against questions to all instances for streams that nobody began."""
    budget = LookupBudget()
    granted = sum(budget.acquire(b'f1', START_MS) for _ in range(200))
    assert granted == MAX_LOOKUPS
    assert budget.acquire(b'k1', START_MS)
    assert budget.acquire(b'f1', START_MS + 1_000)


def test_lookup_beyond_the_budget_is_refused_at_once():
    lookups = Lookups(view=make_view(3))
    for number in range(100):
        lookups.find(key=make_stream_key('flood', str(number)))
    assert lookups.sources[-1] == 'too-many-lookups'
