"""Tests of the limit on log lines."""

from __future__ import annotations

from savorychute.clock import ManualClock
from savorychute.gateway.log_line_budget import (
    IMPORTANT_LINES_PER_S,
    ROUTINE_LINES_PER_S,
    LogLineBudget,
)


def test_routine_lines_do_not_use_the_budget_of_warnings():
    """Guards against a failure that is missing from the log.

    Thousands of requests per second succeed and use up the budget of routine lines; the
    line of a failed request must still be written.
    """
    budget = LogLineBudget(ManualClock())
    written = sum(budget.acquire(important=False) for _ in range(5_000))

    assert written == ROUTINE_LINES_PER_S
    assert (
        sum(budget.acquire(important=True) for _ in range(300)) == IMPORTANT_LINES_PER_S
    )
    assert (
        budget.pop_omitted()
        == 5_000 - ROUTINE_LINES_PER_S + 300 - IMPORTANT_LINES_PER_S
    )
    assert budget.pop_omitted() == 0


def test_budget_refills_over_time():
    clock = ManualClock()
    budget = LogLineBudget(clock)
    while budget.acquire(important=False):
        pass
    clock.advance_to(500)

    assert (
        sum(budget.acquire(important=False) for _ in range(500))
        == ROUTINE_LINES_PER_S // 2
    )
