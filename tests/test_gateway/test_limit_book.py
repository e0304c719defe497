"""Tests of how many calls endpoints take."""

from __future__ import annotations

import pytest

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.endpoints.limit_book import AGE_ERROR_MS, LimitBook
from savorychute.membership.told_limit import NO_LIMIT, ToldLimit

RUN = EndpointRun('e1', 5)


@pytest.fixture
def changes():
    """Changes of limits, in their order."""
    return []


@pytest.fixture
def book(changes):
    """A book that knows of no limit."""
    return LimitBook(lambda run, limit_per_s: changes.append((run, limit_per_s)))


def test_limit_holds_until_an_answer_to_a_later_call_states_none(book, changes):
    book.state(RUN, 2.0, 20)
    assert book.limit_per_s(RUN) == 2.0

    book.end(RUN, 30)

    assert book.limit_per_s(RUN) is None
    assert changes == [(RUN, 2.0), (RUN, None)]


def test_answer_that_was_under_way_before_the_statement_ends_no_limit(book):
    """Guards against a late answer that takes back a limit it knows nothing of."""
    book.state(RUN, 2.0, 20)

    book.end(RUN, 15)

    assert book.limit_per_s(RUN) == 2.0


def test_limit_belongs_to_one_run(book):
    book.state(RUN, 2.0, 20)

    assert book.limit_per_s(EndpointRun('e1', 6)) is None


def test_same_limit_is_told_once(book, changes):
    book.state(RUN, 2.0, 20)
    book.state(RUN, 2.0, 40)

    assert changes == [(RUN, 2.0)]


def test_older_word_of_another_instance_changes_nothing(book):
    book.state(RUN, 2.0, 1_000)

    book.hear([ToldLimit('e1', 5, 9.0, 500)], 1_400)

    assert book.limit_per_s(RUN) == 2.0


def test_end_that_another_instance_tells_is_not_older_than_it_seems(book):
    """Guards against a limit that ends because a message took its time."""
    book.state(RUN, 2.0, 1_000)

    book.hear([ToldLimit('e1', 5, NO_LIMIT, 0)], 1_000 + AGE_ERROR_MS)
    assert book.limit_per_s(RUN) == 2.0

    book.hear([ToldLimit('e1', 5, NO_LIMIT, 0)], 1_001 + AGE_ERROR_MS)
    assert book.limit_per_s(RUN) is None


def test_limits_are_told_while_they_are_fresh(book):
    book.state(RUN, 2.0, 1_000)

    assert book.told(3_000) == (ToldLimit('e1', 5, 2.0, 2_000),)
    assert book.told(60_000) == ()
