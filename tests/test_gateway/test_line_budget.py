"""Tests of the bound on log lines."""

from __future__ import annotations

from savorychute.clock import ManualClock
from savorychute.gateway.log_budget import (
    IMPORTANT_PER_S,
    ROUTINE_PER_S,
    LogBudget,
)


def test_routine_lines_leave_room_for_warnings():
    """A failure that nobody logged.

    Thousands of requests a second end well, and their lines fill the pipe; the one that
    failed must still be there.
    """
    budget = LogBudget(ManualClock())
    written = sum(budget.take(important=False) for _ in range(5_000))

    assert written == ROUTINE_PER_S
    assert sum(budget.take(important=True) for _ in range(300)) == IMPORTANT_PER_S
    assert budget.take_omitted() == 5_000 - ROUTINE_PER_S + 300 - IMPORTANT_PER_S
    assert budget.take_omitted() == 0


def test_budget_fills_with_time():
    clock = ManualClock()
    budget = LogBudget(clock)
    while budget.take(important=False):
        pass
    clock.advance_to(500)

    assert sum(budget.take(important=False) for _ in range(500)) == ROUTINE_PER_S // 2
