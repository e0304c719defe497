"""Tests of what an instance knows of endpoints."""

from __future__ import annotations

import pytest


def test_report_that_lags_does_not_hide_own_starts(make_book, make_report):
    """All requests of a second go to the endpoint that was idle a second ago.

    A report is taken when the endpoint is idle; three requests start; then the
    report arrives.  It says nothing of them, but they are there.
    """
    book = make_book()
    for number in range(3):
        book.started(f'a{number}', 'e1', 100, 50, (), 1_000)

    book.report(make_report('e1', age_ms=800), 1_500)

    assert book.state_of('e1').load == 3


def test_own_requests_in_a_report_are_not_counted_twice(make_book, make_report):
    book = make_book()
    book.started('a1', 'e1', 100, 50, (), 1_000)
    book.started('a2', 'e1', 100, 50, (), 1_000)
    book.finished('a2', True, 1_900)

    book.report(make_report('e1', age_ms=500, running=4, waiting=1), 2_000)

    assert book.state_of('e1').others == 3
    assert book.state_of('e1').load == 4


def test_older_report_does_not_replace_a_newer_one(make_book, make_report):
    book = make_book()
    book.report(make_report('e1', age_ms=100, running=7), 1_000)
    book.report(make_report('e1', age_ms=900, running=1), 1_100)

    assert book.state_of('e1').others == 7


def test_silence_shows_a_straggler_before_its_next_token(make_book, make_report):
    """An endpoint becomes slow; its reports still say that it is fast.

    Tokens came each 5 ms, then none for 60 ms.  The time without a token is
    taken for a step, so that no further request goes there.
    """
    book = make_book(('e1', 'e2', 'e3'))
    for name in ('e1', 'e2', 'e3'):
        book.report(make_report(name, running=1), 0)
    book.started('a1', 'e1', 100, 50, (), 0)
    for step in range(1, 9):
        book.progress('a1', 1, 5 * step)
    assert not book.state_of('e1').is_straggler(45)

    assert book.state_of('e1').is_straggler(100)
    assert book.state_of('e1').measured_step_ms(100) == pytest.approx(60)


def test_token_gaps_go_before_a_lagging_report(make_book, make_report):
    book = make_book()
    book.report(make_report('e1', age_ms=2_000, step_ms=5.0), 3_000)
    book.started('a1', 'e1', 100, 50, (), 3_000)
    for step in range(1, 9):
        book.progress('a1', 1, 3_000 + 25 * step)

    assert book.state_of('e1').measured_step_ms(3_200) == pytest.approx(25)


def test_prompt_held_there_need_not_be_computed(make_book):
    book = make_book(prefix_block_tokens=100)
    book.started('a1', 'e1', 300, 50, (11, 12, 13), 0)

    assert book.state_of('e1').uncached_tokens(400, (11, 12, 13, 14), 10) == 100
    assert book.state_of('e2').uncached_tokens(400, (11, 12, 13, 14), 10) == 400


def test_gap_in_cache_events_forgets_the_endpoint(make_book, make_report):
    """Requests with a common prefix all go to an endpoint that has evicted it.

    The eviction was among the events that were lost.
    """
    book = make_book(prefix_block_tokens=100)
    book.report(make_report('e1', cache_sequence=3, cached=(11, 12)), 0)
    assert book.state_of('e1').uncached_tokens(200, (11, 12), 0) == 1

    book.report(make_report('e1', cache_sequence=9, cache_gap=True), 500)

    assert book.state_of('e1').uncached_tokens(200, (11, 12), 500) == 200


def test_amended_endpoint_keeps_its_requests(make_book, make_document):
    book = make_book()
    book.started('a1', 'e1', 100, 50, (), 0)
    changed = make_document('e1', concurrent_requests=8)

    book.set_endpoints({'e1': changed, 'e2': make_document('e2')})

    assert book.state_of('e1').outstanding == 1
    assert book.state_of('e1').capacity == 8
    book.finished('a1', True, 10)
    assert book.state_of('e1').outstanding == 0


def test_polls_stay_within_their_allowance(make_book):
    names = tuple(f'e{number}' for number in range(200))
    book = make_book(names, polls_per_s=10.0)

    polls = []
    for now_ms in range(0, 5_000, 100):
        polls += book.due_polls(now_ms)

    assert 45 <= len(polls) <= 51
    assert len({poll.endpoint for poll in polls}) == len(polls)
