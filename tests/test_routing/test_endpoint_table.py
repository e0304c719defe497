"""Tests of the table of endpoints."""

from __future__ import annotations

import pytest


def test_stale_report_does_not_hide_own_starts(make_table, make_report):
    """Guards against sending all requests to the endpoint that was idle a second ago.

    A report is made while the endpoint is idle; three requests start; then the
    report arrives.  It does not count them, but they are in progress.
    """
    table = make_table()
    for number in range(3):
        table.record_start(f'a{number}', 'e1', 100, 50, (), 1_000)

    table.apply_report(make_report('e1', age_ms=800), 1_500)

    assert table.state_of('e1').load == 3


def test_own_requests_in_a_report_are_not_counted_twice(make_table, make_report):
    table = make_table()
    table.record_start('a1', 'e1', 100, 50, (), 1_000)
    table.record_start('a2', 'e1', 100, 50, (), 1_000)
    table.record_finish('a2', True, 1_900)

    table.apply_report(make_report('e1', age_ms=500, running=4, waiting=1), 2_000)

    assert table.state_of('e1').peer_requests == 3
    assert table.state_of('e1').load == 4


def test_older_report_does_not_replace_a_newer_one(make_table, make_report):
    table = make_table()
    table.apply_report(make_report('e1', age_ms=100, running=7), 1_000)
    table.apply_report(make_report('e1', age_ms=900, running=1), 1_100)

    assert table.state_of('e1').peer_requests == 7


def test_missing_tokens_reveal_a_straggler_before_its_next_token(
    make_table, make_report
):
    """An endpoint becomes slow while its reports still show it as fast.

    Tokens arrived every 5 ms, then none for 60 ms.  The time without a token
    counts as a step, so that no further request goes there.
    """
    table = make_table(('e1', 'e2', 'e3'))
    for name in ('e1', 'e2', 'e3'):
        table.apply_report(make_report(name, running=1), 0)
    table.record_start('a1', 'e1', 100, 50, (), 0)
    for step in range(1, 9):
        table.record_progress('a1', 1, 5 * step)
    assert not table.state_of('e1').is_straggler(45)

    assert table.state_of('e1').is_straggler(100)
    assert table.state_of('e1').measured_step_ms(100) == pytest.approx(60)


def test_token_gaps_take_precedence_over_a_stale_report(make_table, make_report):
    table = make_table()
    table.apply_report(make_report('e1', age_ms=2_000, step_ms=5.0), 3_000)
    table.record_start('a1', 'e1', 100, 50, (), 3_000)
    for step in range(1, 9):
        table.record_progress('a1', 1, 3_000 + 25 * step)

    assert table.state_of('e1').measured_step_ms(3_200) == pytest.approx(25)


def test_cached_prompt_is_not_computed_again(make_table):
    table = make_table(prefix_block_tokens=100)
    table.record_start('a1', 'e1', 300, 50, (11, 12, 13), 0)

    assert table.state_of('e1').uncached_tokens(400, (11, 12, 13, 14), 10) == 100
    assert table.state_of('e2').uncached_tokens(400, (11, 12, 13, 14), 10) == 400


def test_gap_in_cache_events_clears_the_cached_prefixes(make_table, make_report):
    """Guards against routing by a prefix that the endpoint has evicted.

    The eviction was among the events that were lost.
    """
    table = make_table(prefix_block_tokens=100)
    table.apply_report(make_report('e1', cache_sequence=3, cached=(11, 12)), 0)
    assert table.state_of('e1').uncached_tokens(200, (11, 12), 0) == 1

    table.apply_report(make_report('e1', cache_sequence=9, cache_gap=True), 500)

    assert table.state_of('e1').uncached_tokens(200, (11, 12), 500) == 200


def test_amended_endpoint_keeps_its_requests(make_table, make_document):
    table = make_table()
    table.record_start('a1', 'e1', 100, 50, (), 0)
    changed = make_document('e1', concurrent_requests=8)

    table.set_endpoints({'e1': changed, 'e2': make_document('e2')})

    assert table.state_of('e1').outstanding == 1
    assert table.state_of('e1').capacity == 8
    table.record_finish('a1', True, 10)
    assert table.state_of('e1').outstanding == 0


def test_polls_stay_within_their_allowance(make_table):
    names = tuple(f'e{number}' for number in range(200))
    table = make_table(names, polls_per_s=10.0)

    polls = []
    for now_ms in range(0, 5_000, 100):
        polls += table.due_polls(now_ms)

    assert 45 <= len(polls) <= 51
    assert len({poll.endpoint for poll in polls}) == len(polls)
