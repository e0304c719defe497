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


def test_endpoint_whose_version_changes_is_another_run(roster):
    """Guards against a stream that goes on at a name whose software has changed."""
    roster.apply(make_entry('e1', 'pool', software_version='v1'))
    record = roster.get('e1')
    roster.apply(make_entry('e1', 'pool', software_version='v2', sequence=2))
    assert record.run_ended
    assert roster.get('e1').entry.software_version == 'v2'
    assert roster.versions('pool') == ('v2',)


def test_old_entry_of_another_version_does_not_end_the_run(roster):
    roster.apply(make_entry('e1', 'pool', software_version='v2', sequence=5))
    record = roster.get('e1')
    roster.apply(make_entry('e1', 'pool', software_version='v1', sequence=4))
    assert roster.get('e1') is record
    assert not record.run_ended


def test_known_version_is_kept_if_another_instance_does_not_state_it(roster):
    """Guards against news of an instance of an earlier release."""
    roster.apply(make_entry('e1', 'pool', software_version='v1'))
    roster.apply(make_entry('e1', 'pool', software_version=None, sequence=2))
    assert roster.get('e1').entry.software_version == 'v1'
    assert roster.get('e1').entry.sequence == 2


def test_version_of_a_restarted_endpoint_is_unknown_until_it_is_listed(roster):
    """Guards against the version of the run before."""
    roster.apply(make_entry('e1', 'pool', software_version='v1', born_ms=5))
    roster.apply_restart(EndpointRun('e1', 6))
    assert roster.get('e1').entry.software_version is None
    roster.apply(make_entry('e1', 'pool', software_version='v2', born_ms=6))
    assert roster.get('e1').entry.software_version == 'v2'


def test_versions_of_a_service_follow_its_endpoints(roster):
    roster.apply(make_entry('e1', 'pool', software_version='v1'))
    roster.apply(make_entry('e2', 'pool', software_version='v2'))
    roster.apply(make_entry('e3', 'pool', software_version=None))
    assert set(roster.versions('pool')) == {'v1', 'v2', None}
    roster.apply(make_entry('e1', 'other', software_version='v1', sequence=2))
    roster.remove('e2', 0)
    roster.record_end(EndpointRun('e3'))
    assert roster.versions('pool') == ()
    assert roster.versions('other') == ('v1',)
