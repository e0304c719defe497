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
from savorychute.gateway.store.endpoint_news import make_endpoint_news
from savorychute.gateway.store.read_plan import ReadPlan
from savorychute.gateway.store.shared_reader import SharedReader
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
    """Ignore all arguments."""


class NullTelemetry:
    """Telemetry that discards everything."""

    def __getattr__(self, name):
        return ignore


class Node(NamedTuple):
    """The parts of one instance that read the store."""

    configuration: ConfigurationState
    plan: ReadPlan
    journal: EndpointJournal
    roster: EndpointRoster
    listener: EndpointListener
    shared_reader: SharedReader
    store_era: StoreEra

    def read_store(self, version, entries, offset, now_ms, era=0):
        """Read configuration and entries as a reader does."""
        self.configuration.apply(make_deployment(version=version))
        self.configuration.confirm(now_ms)
        self.store_era.record(era)
        self.listener.on_snapshot(TopicSnapshot((), offset, era), now_ms)
        self.listener.apply_changes(
            [make_endpoint_news(offset + n, entry) for n, entry in enumerate(entries)],
            offset + len(entries),
        )

    def endpoints(self):
        return sorted(record.entry.endpoint for record in self.roster.usable('desk'))


@pytest.fixture
def clock():
    return ManualClock(START_MS)


def make_node(clock, own):
    configuration = ConfigurationState(4_500, 3_000)
    plan = ReadPlan(configuration, 2_000, clock)
    journal = EndpointJournal()
    roster = EndpointRoster(ignore, clock)
    listener = EndpointListener(roster, journal, plan, None, NullTelemetry(), clock)
    store_era = StoreEra()
    shared_reader = SharedReader(
        plan,
        configuration,
        journal,
        listener.apply_changes,
        store_era,
        1_200,
        random.Random(4),
    )
    plan.set_view(MemberView(own, MEMBERS))
    return Node(
        configuration, plan, journal, roster, listener, shared_reader, store_era
    )


@pytest.fixture
def nodes(clock):
    return [make_node(clock, member) for member in MEMBERS]


def exchange(requester, responder, now_ms, delay_ms=0):
    """Send the due query of one instance to another; the response may be delayed."""
    for action in requester.shared_reader.tick(now_ms):
        response = responder.shared_reader.respond(action.message, now_ms)
        requester.shared_reader.handle_response(response, now_ms + delay_ms)


def pick_reader_and_other(nodes):
    reader = next(node for node in nodes if node.plan.is_reader)
    other = next(node for node in nodes if not node.plan.is_reader)
    return reader, other


def test_all_instances_agree_on_two_readers(nodes):
    assert sum(node.plan.is_reader for node in nodes) == 2


@pytest.mark.parametrize('count, readers', [(8, 2), (60, 3), (79, 4), (530, 23)])
def test_reader_count_grows_with_the_instances(clock, count, readers):
    """Guards against a reader that is saturated with queries.

    Three readers for 530 instances would each get 350 queries per second.
    """
    members = tuple(
        MemberAddress(f'm{n}', 1, 'kerala', f'hall-{n % 3}', '10.0.0.1', 80, 70)
        for n in range(count)
    )
    chosen = 0
    for member in members:
        plan = ReadPlan(ConfigurationState(4_500, 3_000), 2_000, clock)
        plan.set_view(MemberView(member, members))
        chosen += plan.is_reader

    assert chosen == readers


def make_plan(clock, count, own_number):
    members = tuple(
        MemberAddress(f'm{n:03}', 1, 'kerala', f'hall-{n % 3}', '10.0.0.1', 80, 70)
        for n in range(count)
    )
    plan = ReadPlan(ConfigurationState(4_500, 3_000), 4_000, clock)
    plan.set_view(MemberView(members[own_number], members))
    return plan


def test_store_outage_causes_few_read_attempts(clock):
    """Guards against a burst of calls when the store returns.

    195 instances lose the store. With two attempts per second each, they would make 390
    calls per second, most of them useless and all of them priced. The readers alone
    notice the return within half a second, and the others query them.
    """
    plans = [make_plan(clock, 195, own_number) for own_number in range(195)]

    attempts_per_s = sum(1_000 / plan.max_retry_ms() for plan in plans)
    readers = [plan for plan in plans if plan.is_reader]

    assert all(plan.max_retry_ms() == 500 for plan in readers)
    assert attempts_per_s < 150


def test_retry_interval_stays_within_the_notice_times(clock):
    """Guards against an outage of the readers alone that goes unnoticed.

    The store rejects only the readers. The other instances must notice by their own
    attempts, early enough to meet the guarantees for leaving endpoints and for keys.
    """
    for count in (3, 60, 195, 530):
        assert make_plan(clock, count, 0).max_retry_ms() <= 1_600


def test_instance_without_known_members_reads_only_what_it_lacks(nodes, clock):
    """Guards against three unnecessary calls at the start.

    Before it knows other members, an instance reads for no other one, and polls would
    only return what its listing has returned already.
    """
    configuration = ConfigurationState(4_500, 3_000)
    plan = ReadPlan(configuration, 2_000, clock)
    assert plan.must_read_configuration()
    assert plan.can_wait()
    assert plan.must_read_endpoints()

    configuration.apply(make_deployment(version=1))
    configuration.confirm(START_MS)
    plan.confirm_endpoints(START_MS)
    assert not plan.must_read_configuration()
    assert not plan.must_read_endpoints()

    clock.advance_to(START_MS + 1_500)
    assert plan.must_read_configuration()
    assert plan.must_read_endpoints()


def test_response_confirms_as_of_the_query(nodes, clock):
    """Guards against the confirmation of a revoked key.

    A reader's response is not processed for four seconds, because the instance is
    paused. If its age counted from its arrival, a stale configuration would seem fresh.
    """
    reader, other = pick_reader_and_other(nodes)
    reader.read_store(7, [], 10, START_MS - 300)
    other.configuration.apply(make_deployment(version=7))
    other.listener.on_snapshot(TopicSnapshot((), 10), START_MS)

    exchange(other, reader, START_MS, delay_ms=4_000)

    assert other.configuration.age_ms(START_MS + 4_000) == 4_300


def test_missing_version_is_read_from_the_store(nodes, clock):
    reader, other = pick_reader_and_other(nodes)
    other.read_store(6, [], 10, START_MS)
    reader.read_store(7, [], 10, START_MS)
    assert not other.plan.must_read_configuration()

    exchange(other, reader, START_MS)

    assert other.plan.must_read_configuration()
    other.configuration.apply(make_deployment(version=7))
    assert not other.plan.must_read_configuration()


def test_response_contains_changes_of_endpoints(nodes, clock):
    reader, other = pick_reader_and_other(nodes)
    other.read_store(1, [make_entry('d0'), make_entry('d1')], 10, START_MS)
    reader.read_store(1, [make_entry('d0'), make_entry('d1')], 10, START_MS)
    drained = make_entry('d0', draining=True, sequence=2)
    reader.listener.apply_changes([make_endpoint_news(12, drained)], 13)

    exchange(other, reader, START_MS)

    assert other.endpoints() == ['d1']
    assert other.journal.offset == 13


@pytest.mark.parametrize('version', ['v1', ''])
def test_response_contains_the_versions_of_endpoints(nodes, clock, version):
    """Guards against an instance that knows endpoints but not their versions."""
    reader, other = pick_reader_and_other(nodes)
    for node in (reader, other):
        node.read_store(1, [], 7, clock.now_ms())
    entry = make_entry('d1', software_version=version)
    reader.listener.apply_changes([make_endpoint_news(7, entry)], 8)
    exchange(other, reader, clock.now_ms())
    assert other.roster.get('d1').entry.software_version == version
    assert not other.plan.must_list_endpoints


def test_entry_without_its_version_is_read_from_the_store(nodes, clock):
    """Guards against versions that an instance of an earlier release cannot tell."""
    other = pick_reader_and_other(nodes)[1]
    other.read_store(1, [], 7, clock.now_ms())
    news = make_endpoint_news(7, make_entry('d1'))
    news = news._replace(has_software_version=False)
    other.listener.apply_changes([news], 8)
    assert other.roster.get('d1').entry.software_version is None
    assert other.plan.must_list_endpoints


def test_change_already_known_to_the_reader_is_passed_on(nodes, clock):
    """Guards against the use of a leaving endpoint by one instance.

    A reader queries an engine for its load, and the engine announces that it will end.
    The record of that arrives later and changes nothing for the reader, but the other
    instance does not know it yet.
    """
    reader, other = pick_reader_and_other(nodes)
    for node in (reader, other):
        node.read_store(1, [make_entry('d0'), make_entry('d1')], 10, START_MS)
    drained = make_entry('d0', draining=True, sequence=2)
    reader.roster.apply(drained)
    reader.listener.apply_changes([make_endpoint_news(12, drained)], 13)

    exchange(other, reader, START_MS)

    assert other.endpoints() == ['d1']


def test_many_changes_are_split_into_several_responses(nodes, clock):
    """Guards against changes that are lost because they exceed one datagram.

    Twenty endpoints are replaced at once. Changes that do not fit into one response
    must not count as known.
    """
    reader, other = pick_reader_and_other(nodes)
    other.read_store(1, [], 10, START_MS)
    reader.read_store(1, [make_entry(f'd{n:02}') for n in range(20)], 10, START_MS)

    now_ms = START_MS
    for _ in range(6):
        reader.configuration.confirm(now_ms)
        exchange(other, reader, now_ms)
        now_ms += other.plan.query_interval_ms

    assert other.endpoints() == reader.endpoints()
    assert len(other.endpoints()) == 20


def test_missing_changes_make_the_instance_list_the_topic(nodes, clock):
    reader, other = pick_reader_and_other(nodes)
    other.read_store(1, [], 10, START_MS)
    reader.read_store(1, [], 500, START_MS)

    exchange(other, reader, START_MS)

    assert other.plan.must_read_endpoints()
    assert other.plan.must_list_endpoints


def query_all_readers(nodes, other, start_ms, end_ms, clock):
    """Let an instance query its readers; all respond at once."""
    by_name = {
        member.instance: node for node, member in zip(nodes, MEMBERS, strict=True)
    }
    for now_ms in range(start_ms, end_ms, 50):
        clock.advance_to(now_ms)
        for action in other.shared_reader.tick(now_ms):
            response = by_name[action.instance].shared_reader.respond(
                action.message, now_ms
            )
            other.shared_reader.handle_response(response, now_ms + 5)


def test_instance_without_fresh_responses_reads_the_store(nodes, clock):
    """Guards against a revoked key that is accepted while all readers are disconnected.

    Both readers lose the store at the same time and notice only when their polls time
    out. They respond with ageing state; a key was revoked meanwhile, and the other
    instances accepted it for 2.6 s.
    """
    _, other = pick_reader_and_other(nodes)
    for node in nodes:
        node.read_store(1, [], 10, START_MS)
    query_all_readers(nodes, other, START_MS, START_MS + 1_000, clock)
    assert not other.plan.must_read_configuration()

    query_all_readers(nodes, other, START_MS + 1_000, START_MS + 1_900, clock)

    assert other.plan.must_read_configuration()
    assert other.plan.must_read_endpoints()


def test_fresh_reader_ends_direct_reads(nodes, clock):
    _, other = pick_reader_and_other(nodes)
    for node in nodes:
        node.read_store(1, [], 10, START_MS)
    query_all_readers(nodes, other, START_MS, START_MS + 3_000, clock)
    assert other.plan.must_read_configuration()

    for node in nodes:
        if node.plan.is_reader:
            node.read_store(1, [], 10, START_MS + 3_000)
    other.read_store(1, [], 10, START_MS + 3_000)
    query_all_readers(nodes, other, START_MS + 3_000, START_MS + 3_600, clock)

    assert not other.plan.must_read_configuration()


def test_reader_rejected_by_the_store_hides_no_version(nodes, clock):
    """Guards against a configuration that one instance applies too late.

    One of two readers is rejected by the store and still responds with its earlier
    state. An instance that queried this reader five times in a row used an old version
    for two and a half seconds.
    """
    readers = [node for node in nodes if node.plan.is_reader]
    other = next(node for node in nodes if not node.plan.is_reader)
    for node in (*readers, other):
        node.read_store(1, [], 10, START_MS)
    readers[0].configuration.apply(make_deployment(version=2))
    readers[1].listener.on_failure(None)

    queried = []
    for now_ms in range(START_MS, START_MS + 700, 50):
        for action in other.shared_reader.tick(now_ms):
            reader = next(
                node
                for node, member in zip(nodes, MEMBERS, strict=True)
                if member.instance == action.instance
            )
            queried.append(reader)
            response = reader.shared_reader.respond(action.message, now_ms)
            other.shared_reader.handle_response(response, now_ms + 5)

    assert other.plan.announced_version == 2
    assert readers[0] in queried


def test_unresponsive_reader_is_skipped(nodes, clock):
    _, other = pick_reader_and_other(nodes)
    other.read_store(1, [], 10, START_MS)

    first = other.shared_reader.tick(START_MS)[0]
    second = other.shared_reader.tick(START_MS + 200)[0]

    assert second.instance != first.instance


def test_older_response_reverts_nothing(nodes, clock):
    reader, other = pick_reader_and_other(nodes)
    reader.read_store(1, [make_entry('d0')], 10, START_MS)
    other.read_store(1, [make_entry('d0')], 10, START_MS)
    drained = make_entry('d0', draining=True, sequence=2)
    query = other.shared_reader.tick(START_MS)[0].message
    response = reader.shared_reader.respond(query, START_MS)
    other.listener.apply_changes([make_endpoint_news(11, drained)], 12)

    other.shared_reader.handle_response(response, START_MS + 100)

    assert other.endpoints() == []
    assert other.journal.offset == 12


def test_listener_ignores_a_read_behind_the_journal(nodes, clock):
    reader, _ = pick_reader_and_other(nodes)
    reader.read_store(1, [make_entry('d0')], 10, START_MS)

    reader.listener.on_delta(TopicDelta((), 5), START_MS)

    assert reader.journal.offset == 11


def test_offset_of_an_earlier_era_is_not_reused(nodes, clock):
    """Guards against missing changes of endpoints.

    The store is restored from an older copy, and the reader continues to read there.
    The offset of the other instance has been reused, so by the offset alone that
    instance would seem to know all changes.
    """
    reader, other = pick_reader_and_other(nodes)
    for node in (reader, other):
        node.read_store(1, [make_entry('d1')], 40, clock.now_ms(), era=1)
    reader.read_store(1, [make_entry('d1')], 20, clock.now_ms(), era=2)
    changes = [make_endpoint_news(21 + n, make_entry(f'd{n + 2}')) for n in range(25)]
    reader.listener.apply_changes(changes, 46)

    exchange(other, reader, clock.now_ms())

    assert other.plan.must_list_endpoints
    assert other.store_era.current == 2


def test_reader_in_an_earlier_era_confirms_nothing(nodes, clock):
    reader, other = pick_reader_and_other(nodes)
    reader.read_store(1, [make_entry('d1')], 40, clock.now_ms(), era=1)
    other.read_store(1, [make_entry('d1')], 20, clock.now_ms(), era=2)
    confirmed_ms = other.configuration.confirmed_ms
    clock.advance_to(clock.now_ms() + 600)
    reader.configuration.confirm(clock.now_ms())

    exchange(other, reader, clock.now_ms())

    assert other.configuration.confirmed_ms == confirmed_ms
