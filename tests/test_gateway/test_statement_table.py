"""Tests of the statements of endpoints about themselves."""

from __future__ import annotations

import pytest

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.endpoint_statement import (
    EndpointStatement,
    StatementKind,
    UnreadableStatement,
)
from savorychute.gateway.endpoints.statement_table import StatementTable

RUN = EndpointRun('e1', 5)
NEXT_RUN = EndpointRun('e1', 6)


class Listener:
    """Records its notifications."""

    def __init__(self):
        self.notifications = []

    def limit_stated(self, run, limit_per_s):
        self.notifications.append((run, limit_per_s))

    def leaving_stated(self, run):
        self.notifications.append((run, 'leaves'))

    def backoff_stated(self, run, backoff_ms):
        self.notifications.append((run, backoff_ms))


@pytest.fixture
def listener():
    """A listener for changes."""
    return Listener()


@pytest.fixture
def table(listener):
    """An empty table."""
    return StatementTable(listener)


def test_unreadable_limit_does_not_end_previous_limit(table):
    unreadable = (UnreadableStatement(StatementKind.LIMIT, 'two'),)
    table.apply(RUN, EndpointStatement(2.0), sent_ms=10, now_ms=20)

    table.apply(RUN, EndpointStatement(unreadable=unreadable), sent_ms=30, now_ms=40)

    assert table.limits.limit_per_s(RUN) == 2.0


def test_other_unreadable_statement_ends_the_limit(table):
    unreadable = (UnreadableStatement(StatementKind.REST, 'soon'),)
    table.apply(RUN, EndpointStatement(2.0), sent_ms=10, now_ms=20)

    table.apply(RUN, EndpointStatement(unreadable=unreadable), sent_ms=30, now_ms=40)

    assert table.limits.limit_per_s(RUN) is None


def test_run_that_leaves_stays_leaving(table, listener):
    """Guards against a leaving endpoint that is used again before it ends."""
    table.apply(RUN, EndpointStatement(leaving=True), sent_ms=10, now_ms=20)
    table.apply(RUN, EndpointStatement(leaving=True), sent_ms=20, now_ms=30)
    table.apply(RUN, EndpointStatement(), sent_ms=30, now_ms=40)

    assert RUN in table.leaving
    assert NEXT_RUN not in table.leaving
    assert listener.notifications == [(RUN, 'leaves')]


def test_backoff_lasts_until_latest_requested_end(table):
    """Guards against a short backoff that ends a longer one."""
    table.apply(RUN, EndpointStatement(backoff_ms=3_000), sent_ms=10, now_ms=1_000)
    table.apply(RUN, EndpointStatement(backoff_ms=500), sent_ms=10, now_ms=1_100)

    assert table.backoffs.remaining_ms(RUN, 1_100) == 2_900
    assert table.backoffs.remaining_ms(RUN, 4_000) == 0
    assert table.backoffs.remaining_ms(NEXT_RUN, 1_100) == 0
