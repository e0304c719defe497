"""Tests of the call limits stated by endpoints."""

from __future__ import annotations

import pytest

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.limit_table import AGE_ERROR_MS, LimitTable
from savorychute.membership.told_limit import NO_LIMIT, ToldLimit

RUN = EndpointRun('e1', 5)


@pytest.fixture
def changes():
    """Changes of limits, in order."""
    return []


@pytest.fixture
def table(changes):
    """An empty table."""
    return LimitTable(lambda run, limit_per_s: changes.append((run, limit_per_s)))


def test_limit_holds_until_a_later_response_states_none(table, changes):
    table.record_limit(RUN, 2.0, 20)
    assert table.limit_per_s(RUN) == 2.0

    table.record_no_limit(RUN, 30)

    assert table.limit_per_s(RUN) is None
    assert changes == [(RUN, 2.0), (RUN, None)]


def test_response_to_earlier_call_ends_no_limit(table):
    """Guards against a late response that ends a limit stated after its call."""
    table.record_limit(RUN, 2.0, 20)

    table.record_no_limit(RUN, 15)

    assert table.limit_per_s(RUN) == 2.0


def test_limit_belongs_to_one_run(table):
    table.record_limit(RUN, 2.0, 20)

    assert table.limit_per_s(EndpointRun('e1', 6)) is None


def test_same_limit_is_notified_once(table, changes):
    table.record_limit(RUN, 2.0, 20)
    table.record_limit(RUN, 2.0, 40)

    assert changes == [(RUN, 2.0)]


def test_older_report_of_another_instance_changes_nothing(table):
    table.record_limit(RUN, 2.0, 1_000)

    table.record_reported([ToldLimit('e1', 5, 9.0, 500)], 1_400)

    assert table.limit_per_s(RUN) == 2.0


def test_reported_end_counts_as_older_by_age_error(table):
    """Guards against a limit that ends because a message was delayed."""
    table.record_limit(RUN, 2.0, 1_000)

    table.record_reported([ToldLimit('e1', 5, NO_LIMIT, 0)], 1_000 + AGE_ERROR_MS)
    assert table.limit_per_s(RUN) == 2.0

    table.record_reported([ToldLimit('e1', 5, NO_LIMIT, 0)], 1_001 + AGE_ERROR_MS)
    assert table.limit_per_s(RUN) is None


def test_limits_are_announced_while_fresh(table):
    table.record_limit(RUN, 2.0, 1_000)

    assert table.announcements(3_000) == (ToldLimit('e1', 5, 2.0, 2_000),)
    assert table.announcements(60_000) == ()
