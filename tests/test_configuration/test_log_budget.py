"""The appends of all instances stay within their share of the log's capacity."""

from __future__ import annotations

import random

import pytest

from savorychute.configuration.log_budget import LogBudget, LogBudgetSettings

MEMBERS = 530


@pytest.fixture
def budgets():
    rng = random.Random(7)
    budgets = [LogBudget(LogBudgetSettings()) for _ in range(MEMBERS)]
    for budget in budgets:
        budget.set_phase(rng.random())
    return budgets


def append_all(budgets, use, start_ms, end_ms):
    """Return the number of appends in each second when all instances want one."""
    waiting = list(budgets)
    per_second = {}
    for now_ms in range(start_ms, end_ms, 100):
        granted = [budget for budget in waiting if budget.acquire(use, now_ms)]
        waiting = [budget for budget in waiting if budget not in granted]
        second = now_ms // 1_000
        per_second[second] = per_second.get(second, 0) + len(granted)
    return per_second


def test_restart_of_all_instances_stays_within_the_share(budgets):
    """All instances start at once, and each wants to append an audit record of it.

    Each instance sees only itself at first; the others appear within seconds.
    """
    for budget in budgets:
        assert not budget.acquire('audit', 0)
        budget.set_members(MEMBERS)
    per_second = append_all(budgets, 'audit', 100, 40_000)
    assert sum(per_second.values()) == MEMBERS
    assert max(per_second.values()) <= 50


def test_failure_observed_by_all_instances_stays_within_the_share(budgets):
    """A failure domain is lost after an idle hour; all instances append a record."""
    for budget in budgets:
        budget.set_members(MEMBERS)
        budget.acquire('audit', 0)
    per_second = append_all(budgets, 'audit', 3_600_000, 3_640_000)
    assert sum(per_second.values()) == MEMBERS
    assert max(per_second.values()) <= 50


def test_urgent_uses_do_not_wait_and_postpone_the_others():
    settings = LogBudgetSettings(log_appends_per_s=10, start_hold_ms=0)
    budget = LogBudget(settings)
    assert budget.appends_per_s == pytest.approx(1.0)
    for _ in range(3):
        assert budget.acquire('lease', 0)
    granted = [now for now in range(0, 6_000, 100) if budget.acquire('audit', now)]
    assert granted == [4_000, 5_000]
    assert budget.appends_by_use == {'lease': 3, 'audit': 2}


def test_uses_take_turns():
    budget = LogBudget(LogBudgetSettings(log_appends_per_s=10, start_hold_ms=0))
    granted = [
        use
        for now_ms in range(0, 6_500, 100)
        for use in ('audit', 'snapshot')
        if budget.acquire(use, now_ms)
    ]
    assert granted == ['audit', 'snapshot'] * 3


def test_use_that_stops_asking_does_not_block_the_others():
    budget = LogBudget(LogBudgetSettings(log_appends_per_s=10, start_hold_ms=0))
    assert not budget.acquire('snapshot', 0)
    granted = [now for now in range(0, 12_000, 100) if budget.acquire('audit', now)]
    assert granted[0] <= 7_100
    assert len(granted) >= 3
