"""Tests of what endpoints say of themselves."""

from __future__ import annotations

import pytest

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.endpoint_statement import (
    EndpointStatement,
    UnreadableStatement,
)
from savorychute.gateway.endpoints.statement_book import StatementBook

RUN = EndpointRun('e1', 5)
LIMITED = EndpointStatement(2.0)
NOTHING = EndpointStatement()


@pytest.fixture
def changes():
    """Changes of limits, in their order."""
    return []


@pytest.fixture
def book(changes):
    return StatementBook(lambda run, limit_per_s: changes.append((run, limit_per_s)))


def test_limit_holds_until_an_answer_to_a_later_call_states_none(book, changes):
    book.take(RUN, LIMITED, sent_ms=10, now_ms=20)
    assert book.limit_per_s(RUN) == 2.0

    book.take(RUN, NOTHING, sent_ms=30, now_ms=40)

    assert book.limit_per_s(RUN) is None
    assert changes == [(RUN, 2.0), (RUN, None)]


def test_answer_that_was_under_way_before_the_statement_ends_no_limit(book):
    """Guards against a late answer that takes back a limit it knows nothing of."""
    book.take(RUN, LIMITED, sent_ms=10, now_ms=20)

    book.take(RUN, NOTHING, sent_ms=15, now_ms=40)

    assert book.limit_per_s(RUN) == 2.0


def test_unreadable_statement_changes_nothing(book):
    unreadable = EndpointStatement(unreadable=UnreadableStatement('limit', 'two'))
    book.take(RUN, LIMITED, sent_ms=10, now_ms=20)

    book.take(RUN, unreadable, sent_ms=30, now_ms=40)

    assert book.limit_per_s(RUN) == 2.0


def test_limit_belongs_to_one_run(book):
    book.take(RUN, LIMITED, sent_ms=10, now_ms=20)

    assert book.limit_per_s(EndpointRun('e1', 6)) is None


def test_same_limit_is_told_once(book, changes):
    book.take(RUN, LIMITED, sent_ms=10, now_ms=20)
    book.take(RUN, LIMITED, sent_ms=30, now_ms=40)

    assert changes == [(RUN, 2.0)]
