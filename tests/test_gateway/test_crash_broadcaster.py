"""Tests of the exchange of observed crashes between instances."""

from __future__ import annotations

import random

import pytest

from savorychute.gateway.recovery.crash_broadcaster import (
    SENDS_PER_CRASH,
    CrashBroadcaster,
)
from savorychute.gateway.recovery.crash_history_fetcher import (
    REQUEST_INTERVAL_MS,
    REQUEST_PERIOD_MS,
    CrashHistoryFetcher,
)
from savorychute.gateway.recovery.crash_question import CrashQuestion
from savorychute.gateway.recovery.crash_sighting import CrashSighting
from savorychute.gateway.recovery.crash_table import (
    MAX_REPORTED_AGE_MS,
    SUSPECT_CRASHES,
    CrashTable,
)
from savorychute.member_address import MemberAddress
from savorychute.membership.member_view import MemberView

NAMES = ('k0', 'k1', 'k2')


@pytest.fixture
def view():
    members = tuple(
        MemberAddress(name, 1, 'kerala', 'kochi', '10.0.0.1', 80, 70) for name in NAMES
    )
    return MemberView(members[0], members)


def record_crash(table, endpoint, now_ms):
    table.record_interruption(CrashSighting('poison', endpoint), now_ms)
    table.endpoint_ended(endpoint, now_ms + 100)


def test_crashes_observed_by_different_instances_are_summed(view):
    """Guards against a poison request that is sent to another instance each time.

    Each instance observes only one crash; together they observe three.
    """
    tables = [CrashTable() for _ in range(SUSPECT_CRASHES)]
    for number, table in enumerate(tables):
        record_crash(table, f'd{number}', 1_000)
        for message in CrashBroadcaster(table).tick(view, 1_200):
            for other in tables:
                other.record_reported(message.message.sightings, 1_300)

    assert all(table.is_suspect('poison', 1_400) for table in tables)


def test_each_crash_is_sent_several_times_to_each_other_instance(view):
    table = CrashTable()
    record_crash(table, 'd0', 1_000)
    broadcaster = CrashBroadcaster(table)

    sent = [
        action.instance
        for now_ms in range(1_200, 9_000, 100)
        for action in broadcaster.tick(view, now_ms)
    ]

    assert sorted(sent) == sorted(NAMES[1:] * SENDS_PER_CRASH)


def test_started_instance_learns_which_requests_crash_endpoints(view):
    """Guards against a request that crashes three more endpoints after each start."""
    old, new = CrashTable(), CrashTable()
    for number in range(SUSPECT_CRASHES):
        record_crash(old, f'd{number}', 1_000)
    request = CrashHistoryFetcher(random.Random(1)).tick(view, 30_000)[0]
    assert isinstance(request.message, CrashQuestion)
    for response in CrashBroadcaster(old).respond(view.own, 30_000):
        report = response.message
        new.record_reported(report.sightings, 30_000 - report.age_ms)

    assert new.is_suspect('poison', 30_000)
    assert new.list_recent(8, 1_100 + MAX_REPORTED_AGE_MS) == []


def test_requests_end_after_the_request_period(view):
    """Guards against requests that continue for the whole run of an instance."""
    fetcher = CrashHistoryFetcher(random.Random(1))
    asked = sum(len(fetcher.tick(view, now_ms)) for now_ms in range(0, 60_000, 100))

    assert asked == 2 * REQUEST_PERIOD_MS // REQUEST_INTERVAL_MS
