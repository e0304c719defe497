"""Tests of the roster of endpoints that may get requests."""

from __future__ import annotations

import pytest
from gateway_fakes import make_entry

from savorychute.clock import ManualClock
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.endpoint_run import EndpointRun


def ignore(endpoint, now_ms):
    """Ignore the end of an endpoint."""


@pytest.fixture
def roster():
    roster = EndpointRoster(ignore, ManualClock())
    for name in ('d0', 'd1'):
        roster.apply(make_entry(name))
    return roster


def usable_names(roster):
    return [record.entry.endpoint for record in roster.usable('desk')]


def test_draining_endpoint_gets_no_new_requests(roster):
    roster.apply(make_entry('d0', draining=True, sequence=2))

    assert usable_names(roster) == ['d1']


def test_old_entry_does_not_restore_a_draining_endpoint(roster):
    """Guards against a draining endpoint that gets requests again.

    An entry that it wrote before its draining one arrives late.
    """
    roster.apply(make_entry('d0', draining=True, sequence=5))
    roster.apply(make_entry('d0', sequence=4))

    assert usable_names(roster) == ['d1']


def test_removed_entry_ends_endpoint_at_once_while_store_responds(roster):
    roster.remove('d0', now_ms=10_000)

    assert usable_names(roster) == ['d1']


def test_entries_that_expire_in_an_outage_stay_in_use(roster):
    """Guards against the loss of all endpoints at once.

    While the store is down for some seconds, no entry can be renewed.  After its
    recovery it lists no endpoint; they are alive and write their entries within two
    seconds.
    """
    roster.store_failed(10_000)
    roster.apply_all([], 11_000)
    roster.expire(11_000)
    assert usable_names(roster) == ['d0', 'd1']

    roster.apply(make_entry('d0', sequence=7))
    roster.expire(13_000)

    assert usable_names(roster) == ['d0']


def test_continued_outage_keeps_entries(roster):
    roster.store_failed(10_000)
    roster.remove('d0', 11_000)
    roster.store_failed(12_000)
    roster.expire(13_000)

    assert usable_names(roster) == ['d0', 'd1']


def test_ended_run_is_not_accepted_again(roster):
    """Guards against an ended endpoint whose address serves another.

    A delayed heartbeat writes its entry once more.
    """
    roster.record_end(EndpointRun('d0'))
    roster.apply(make_entry('d0', sequence=9))

    assert usable_names(roster) == ['d1']
