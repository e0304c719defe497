"""Tests of which endpoints may get requests."""

from __future__ import annotations

import pytest
from gateway_fakes import make_entry

from savorychute.clock import ManualClock
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.endpoint_run import EndpointRun


def ignore(endpoint, now_ms):
    """Take that an endpoint ended."""


@pytest.fixture
def roster():
    roster = EndpointRoster(ignore, ManualClock())
    for name in ('d0', 'd1'):
        roster.apply(make_entry(name))
    return roster


def names(roster):
    return [record.entry.endpoint for record in roster.usable('desk')]


def test_draining_endpoint_gets_nothing_new(roster):
    roster.apply(make_entry('d0', draining=True, sequence=2))

    assert names(roster) == ['d1']


def test_old_entry_does_not_bring_a_leaving_endpoint_back(roster):
    """A leaving endpoint that got requests again.

    Its report that it drains is in the store; one that it had sent before arrives after
    it.
    """
    roster.apply(make_entry('d0', draining=True, sequence=5))
    roster.apply(make_entry('d0', sequence=4))

    assert names(roster) == ['d1']


def test_removed_entry_ends_an_endpoint_at_once_while_the_store_answers(roster):
    roster.remove('d0', now_ms=10_000)

    assert names(roster) == ['d1']


def test_entries_that_lapse_in_an_outage_stay_in_use(roster):
    """All servers gone at once.

    The store is down for some seconds, and nobody can renew an entry.  When it is
    back it lists no server; they are alive and write again within two seconds.
    """
    roster.store_failed(10_000)
    roster.apply_all([], 11_000)
    roster.expire(11_000)
    assert names(roster) == ['d0', 'd1']

    roster.apply(make_entry('d0', sequence=7))
    roster.expire(13_000)

    assert names(roster) == ['d0']


def test_outage_that_goes_on_keeps_entries(roster):
    roster.store_failed(10_000)
    roster.remove('d0', 11_000)
    roster.store_failed(12_000)
    roster.expire(13_000)

    assert names(roster) == ['d0', 'd1']


def test_ended_run_is_not_believed_again(roster):
    """An endpoint whose address serves another.

    Its entry is written once more by a heartbeat that was under way.
    """
    roster.end(EndpointRun('d0'))
    roster.apply(make_entry('d0', sequence=9))

    assert names(roster) == ['d1']
