"""Tests of instances that read the store for each other."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from gateway_fakes import START_MS, make_deployment, make_entry

from savorychute.clock import ManualClock
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.store.endpoint_journal import EndpointJournal
from savorychute.gateway.store.endpoint_listener import EndpointListener
from savorychute.gateway.store.endpoint_news import make_news
from savorychute.gateway.store.reading_plan import ReadingPlan
from savorychute.gateway.store.shared_reading import SharedReading
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.topic_delta import TopicDelta
from savorychute.gateway.store.topic_snapshot import TopicSnapshot
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

MEMBERS = tuple(
    MemberAddress(f'k{n}', 1, 'kerala', f'hall-{n % 3}', '10.0.0.1', 80, 70 + n)
    for n in range(8)
)


def ignore(*arguments):
    """Take what is told, and do nothing."""


class Silent:
    """Telemetry that tells nobody."""

    def __getattr__(self, name):
        return ignore


class Node(NamedTuple):
    """One instance's share of the reading."""

    configuration: ConfigurationState
    plan: ReadingPlan
    journal: EndpointJournal
    roster: EndpointRoster
    listener: EndpointListener
    reading: SharedReading
    eras: StoreEra

    def read_store(self, version, entries, offset, now_ms, era=0):
        """Read configuration and entries as a reader does."""
        self.configuration.apply(make_deployment(version=version))
        self.configuration.confirm(now_ms)
        self.eras.note(era)
        self.listener.topic_listed(TopicSnapshot((), offset, era), now_ms)
        self.listener.take_changes(
            [make_news(offset + n, entry) for n, entry in enumerate(entries)],
            offset + len(entries),
        )

    def endpoints(self):
        return sorted(record.entry.endpoint for record in self.roster.usable('desk'))


@pytest.fixture
def clock():
    return ManualClock(START_MS)


def make_node(clock, own):
    configuration = ConfigurationState(4_500, 3_000)
    plan = ReadingPlan(configuration, 2_000, clock)
    journal = EndpointJournal()
    roster = EndpointRoster(ignore, clock)
    listener = EndpointListener(roster, journal, plan, None, Silent(), clock)
    eras = StoreEra()
    reading = SharedReading(
        plan,
        configuration,
        journal,
        listener.take_changes,
        eras,
        1_200,
        random.Random(4),
    )
    plan.follow(MemberView(own, MEMBERS))
    return Node(configuration, plan, journal, roster, listener, reading, eras)


@pytest.fixture
def nodes(clock):
    return [make_node(clock, member) for member in MEMBERS]


def exchange(asker, answerer, now_ms, delay_ms=0):
    """Let one instance ask another; the answer takes a while."""
    for action in asker.reading.tick(now_ms):
        answer = answerer.reading.answer(action.message, now_ms)
        asker.reading.take_answer(answer, now_ms + delay_ms)


def pick(nodes):
    reader = next(node for node in nodes if node.plan.is_reader)
    other = next(node for node in nodes if not node.plan.is_reader)
    return reader, other


def test_all_instances_agree_on_two_readers(nodes):
    assert sum(node.plan.is_reader for node in nodes) == 2


@pytest.mark.parametrize('count, readers', [(8, 2), (60, 3), (79, 4), (530, 23)])
def test_readers_grow_with_the_instances(clock, count, readers):
    """A reader that only answered.

    Three readers for 530 instances would each get 350 questions a second.
    """
    members = tuple(
        MemberAddress(f'm{n}', 1, 'kerala', f'hall-{n % 3}', '10.0.0.1', 80, 70)
        for n in range(count)
    )
    chosen = 0
    for member in members:
        plan = ReadingPlan(ConfigurationState(4_500, 3_000), 2_000, clock)
        plan.follow(MemberView(member, members))
        chosen += plan.is_reader

    assert chosen == readers


def plan_of_many(clock, count, own):
    members = tuple(
        MemberAddress(f'm{n:03}', 1, 'kerala', f'hall-{n % 3}', '10.0.0.1', 80, 70)
        for n in range(count)
    )
    plan = ReadingPlan(ConfigurationState(4_500, 3_000), 4_000, clock)
    plan.follow(MemberView(members[own], members))
    return plan


def test_outage_of_the_store_is_tried_by_few_at_a_time(clock):
    """A store that came back under a storm.

    195 instances lose the store.  Each that tries twice a second makes 390 calls a second
    together, all of them priced and most of them for nothing; the readers alone notice
    the return within half a second, and the others ask them.
    """
    plans = [plan_of_many(clock, 195, own) for own in range(195)]

    tries_per_s = sum(1_000 / plan.longest_retry_ms() for plan in plans)
    readers = [plan for plan in plans if plan.is_reader]

    assert all(plan.longest_retry_ms() == 500 for plan in readers)
    assert tries_per_s < 150


def test_no_instance_waits_past_its_promises_for_its_next_try(clock):
    """Readers that the store turned away, and they alone.

    The other instances must find out by their own tries, and early enough to keep what
    is promised of leaving endpoints and of keys.
    """
    for count in (3, 60, 195, 530):
        assert plan_of_many(clock, count, 0).longest_retry_ms() <= 1_600


def test_instance_that_knows_no_other_reads_only_what_it_lacks(nodes, clock):
    """A start that cost three calls more than it had to.

    Before it has met the others an instance has nobody to read for; polls that it made
    meanwhile told it what its listing had told it already.
    """
    configuration = ConfigurationState(4_500, 3_000)
    plan = ReadingPlan(configuration, 2_000, clock)
    assert plan.reads_configuration()
    assert plan.may_wait()
    assert plan.reads_endpoints()

    configuration.apply(make_deployment(version=1))
    configuration.confirm(START_MS)
    plan.endpoints_confirmed(START_MS)
    assert not plan.reads_configuration()
    assert not plan.reads_endpoints()

    clock.advance_to(START_MS + 1_500)
    assert plan.reads_configuration()
    assert plan.reads_endpoints()


def test_answer_confirms_as_of_the_question(nodes, clock):
    """A revoked key that was vouched for.

    A reader's answer lies unread for four seconds in an instance that was frozen.
    Counted from its arrival it would make a stale configuration seem fresh.
    """
    reader, other = pick(nodes)
    reader.read_store(7, [], 10, START_MS - 300)
    other.configuration.apply(make_deployment(version=7))
    other.listener.topic_listed(TopicSnapshot((), 10), START_MS)

    exchange(other, reader, START_MS, delay_ms=4_000)

    assert other.configuration.age_ms(START_MS + 4_000) == 4_300


def test_missing_version_is_read_from_the_store(nodes, clock):
    reader, other = pick(nodes)
    other.read_store(6, [], 10, START_MS)
    reader.read_store(7, [], 10, START_MS)
    assert not other.plan.reads_configuration()

    exchange(other, reader, START_MS)

    assert other.plan.reads_configuration()
    other.configuration.apply(make_deployment(version=7))
    assert not other.plan.reads_configuration()


def test_changes_of_endpoints_come_with_the_answer(nodes, clock):
    reader, other = pick(nodes)
    other.read_store(1, [make_entry('d0'), make_entry('d1')], 10, START_MS)
    reader.read_store(1, [make_entry('d0'), make_entry('d1')], 10, START_MS)
    drained = make_entry('d0', draining=True, sequence=2)
    reader.listener.take_changes([make_news(12, drained)], 13)

    exchange(other, reader, START_MS)

    assert other.endpoints() == ['d1']
    assert other.journal.offset == 13


def test_others_are_told_what_this_instance_knew_already(nodes, clock):
    """A leaving server that one instance went on using.

    A reader asks an engine for its load, and the engine says that it will end.  The
    record that says so comes later and is no news to the reader; the other instance
    has heard of it from nobody.
    """
    reader, other = pick(nodes)
    for node in (reader, other):
        node.read_store(1, [make_entry('d0'), make_entry('d1')], 10, START_MS)
    drained = make_entry('d0', draining=True, sequence=2)
    reader.roster.apply(drained)
    reader.listener.take_changes([make_news(12, drained)], 13)

    exchange(other, reader, START_MS)

    assert other.endpoints() == ['d1']


def test_many_changes_come_in_several_answers(nodes, clock):
    """A release that filled a datagram.

    Twenty servers are replaced at once; what does not fit into one answer must not be
    taken for known.
    """
    reader, other = pick(nodes)
    other.read_store(1, [], 10, START_MS)
    reader.read_store(1, [make_entry(f'd{n:02}') for n in range(20)], 10, START_MS)

    now_ms = START_MS
    for _ in range(6):
        reader.configuration.confirm(now_ms)
        exchange(other, reader, now_ms)
        now_ms += other.plan.ask_ms

    assert other.endpoints() == reader.endpoints()
    assert len(other.endpoints()) == 20


def test_lost_changes_make_the_instance_list_the_topic(nodes, clock):
    reader, other = pick(nodes)
    other.read_store(1, [], 10, START_MS)
    reader.read_store(1, [], 500, START_MS)

    exchange(other, reader, START_MS)

    assert other.plan.reads_endpoints()
    assert other.plan.must_list_endpoints


def ask_all(nodes, other, begin_ms, end_ms, clock):
    """Let an instance ask its readers; all answer at once."""
    by_name = {
        member.instance: node for node, member in zip(nodes, MEMBERS, strict=True)
    }
    for now_ms in range(begin_ms, end_ms, 50):
        clock.advance_to(now_ms)
        for action in other.reading.tick(now_ms):
            answer = by_name[action.instance].reading.answer(action.message, now_ms)
            other.reading.take_answer(answer, now_ms + 5)


def test_instance_that_hears_nothing_fresh_reads_by_itself(nodes, clock):
    """Readers that the store cut off without a word.

    Both readers lose the store at once and notice only when their polls time out.  They
    answer, and what they know grows old; a key was taken back meanwhile, and the others
    accepted it for 2.6 s.
    """
    _, other = pick(nodes)
    for node in nodes:
        node.read_store(1, [], 10, START_MS)
    ask_all(nodes, other, START_MS, START_MS + 1_000, clock)
    assert not other.plan.reads_configuration()

    ask_all(nodes, other, START_MS + 1_000, START_MS + 1_900, clock)

    assert other.plan.reads_configuration()
    assert other.plan.reads_endpoints()


def test_fresh_reader_ends_the_own_reading(nodes, clock):
    _, other = pick(nodes)
    for node in nodes:
        node.read_store(1, [], 10, START_MS)
    ask_all(nodes, other, START_MS, START_MS + 3_000, clock)
    assert other.plan.reads_configuration()

    for node in nodes:
        if node.plan.is_reader:
            node.read_store(1, [], 10, START_MS + 3_000)
    other.read_store(1, [], 10, START_MS + 3_000)
    ask_all(nodes, other, START_MS + 3_000, START_MS + 3_600, clock)

    assert not other.plan.reads_configuration()


def test_reader_that_the_store_turns_away_hides_nothing(nodes, clock):
    """A configuration that one instance learned too late.

    One of two readers is turned away by the store and still answers with what it knew.
    An instance that happened to ask it five times in a row went on with an old version
    for two and a half seconds.
    """
    readers = [node for node in nodes if node.plan.is_reader]
    other = next(node for node in nodes if not node.plan.is_reader)
    for node in (*readers, other):
        node.read_store(1, [], 10, START_MS)
    readers[0].configuration.apply(make_deployment(version=2))
    readers[1].listener.topic_failed(None)

    asked = []
    for now_ms in range(START_MS, START_MS + 700, 50):
        for action in other.reading.tick(now_ms):
            reader = next(
                node
                for node, member in zip(nodes, MEMBERS, strict=True)
                if member.instance == action.instance
            )
            asked.append(reader)
            answer = reader.reading.answer(action.message, now_ms)
            other.reading.take_answer(answer, now_ms + 5)

    assert other.plan.wanted_version == 2
    assert readers[0] in asked


def test_silent_reader_is_passed_over(nodes, clock):
    _, other = pick(nodes)
    other.read_store(1, [], 10, START_MS)

    first = other.reading.tick(START_MS)[0]
    again = other.reading.tick(START_MS + 200)[0]

    assert again.instance != first.instance


def test_older_answer_takes_nothing_back(nodes, clock):
    reader, other = pick(nodes)
    reader.read_store(1, [make_entry('d0')], 10, START_MS)
    other.read_store(1, [make_entry('d0')], 10, START_MS)
    drained = make_entry('d0', draining=True, sequence=2)
    question = other.reading.tick(START_MS)[0].message
    answer = reader.reading.answer(question, START_MS)
    other.listener.take_changes([make_news(11, drained)], 12)

    other.reading.take_answer(answer, START_MS + 100)

    assert other.endpoints() == []
    assert other.journal.offset == 12


def test_listener_passes_over_a_read_that_is_behind(nodes, clock):
    reader, _ = pick(nodes)
    reader.read_store(1, [make_entry('d0')], 10, START_MS)

    reader.listener.topic_changed(TopicDelta((), 5), START_MS)

    assert reader.journal.offset == 11


def test_offset_of_an_older_copy_is_not_taken_for_one_of_the_newer(nodes, clock):
    """Changes of endpoints that an instance never heard of.

    The store comes back from an older copy and the reader reads on there.  The other one's
    offset was given out again, so by the offset alone it seems to know all.
    """
    reader, other = pick(nodes)
    for node in (reader, other):
        node.read_store(1, [make_entry('d1')], 40, clock.now_ms(), era=1)
    reader.read_store(1, [make_entry('d1')], 20, clock.now_ms(), era=2)
    changes = [make_news(21 + n, make_entry(f'd{n + 2}')) for n in range(25)]
    reader.listener.take_changes(changes, 46)

    exchange(other, reader, clock.now_ms())

    assert other.plan.must_list_endpoints
    assert other.eras.current == 2


def test_reader_that_has_not_noticed_the_older_copy_vouches_for_nothing(nodes, clock):
    reader, other = pick(nodes)
    reader.read_store(1, [make_entry('d1')], 40, clock.now_ms(), era=1)
    other.read_store(1, [make_entry('d1')], 20, clock.now_ms(), era=2)
    confirmed_ms = other.configuration.confirmed_ms
    clock.advance_to(clock.now_ms() + 600)
    reader.configuration.confirm(clock.now_ms())

    exchange(other, reader, clock.now_ms())

    assert other.configuration.confirmed_ms == confirmed_ms
