"""Tests of what endpoints say of themselves."""

from __future__ import annotations

import pytest

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.endpoint_statement import (
    EndpointStatement,
    StatementKind,
    UnreadableStatement,
)
from savorychute.gateway.endpoints.statement_book import StatementBook

RUN = EndpointRun('e1', 5)
NEXT_RUN = EndpointRun('e1', 6)


class Listener:
    """Keeps what it is told."""

    def __init__(self):
        self.told = []

    def limit_stated(self, run, limit_per_s):
        self.told.append((run, limit_per_s))

    def leaving_stated(self, run):
        self.told.append((run, 'leaves'))

    def rest_stated(self, run, rest_ms):
        self.told.append((run, rest_ms))


@pytest.fixture
def listener():
    """Who is told of changes."""
    return Listener()


@pytest.fixture
def book(listener):
    """A book that nothing was said to."""
    return StatementBook(listener)


def test_unreadable_limit_does_not_end_the_one_before(book):
    unreadable = (UnreadableStatement(StatementKind.LIMIT, 'two'),)
    book.take(RUN, EndpointStatement(2.0), sent_ms=10, now_ms=20)

    book.take(RUN, EndpointStatement(unreadable=unreadable), sent_ms=30, now_ms=40)

    assert book.limits.limit_per_s(RUN) == 2.0


def test_other_unreadable_statement_leaves_the_limit_to_end(book):
    unreadable = (UnreadableStatement(StatementKind.REST, 'soon'),)
    book.take(RUN, EndpointStatement(2.0), sent_ms=10, now_ms=20)

    book.take(RUN, EndpointStatement(unreadable=unreadable), sent_ms=30, now_ms=40)

    assert book.limits.limit_per_s(RUN) is None


def test_run_that_leaves_goes_on_leaving(book, listener):
    """Guards against an endpoint that comes back into use before it ends."""
    book.take(RUN, EndpointStatement(leaving=True), sent_ms=10, now_ms=20)
    book.take(RUN, EndpointStatement(leaving=True), sent_ms=20, now_ms=30)
    book.take(RUN, EndpointStatement(), sent_ms=30, now_ms=40)

    assert RUN in book.leaving
    assert NEXT_RUN not in book.leaving
    assert listener.told == [(RUN, 'leaves')]


def test_rest_lasts_until_the_latest_end_that_was_asked_for(book):
    """Guards against a short rest that ends a long one."""
    book.take(RUN, EndpointStatement(rest_ms=3_000), sent_ms=10, now_ms=1_000)
    book.take(RUN, EndpointStatement(rest_ms=500), sent_ms=10, now_ms=1_100)

    assert book.rests.left_ms(RUN, 1_100) == 2_900
    assert book.rests.left_ms(RUN, 4_000) == 0
    assert book.rests.left_ms(NEXT_RUN, 1_100) == 0
