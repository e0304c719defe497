"""Tests of the retry bound that all instances share."""

from __future__ import annotations

from savorychute.gateway.recovery.retry_allowance import RetryAllowance, RetryBounds
from savorychute.gateway.recovery.retry_cap import INITIAL_RETRIES

BOUNDS = RetryBounds(ratio=0.2, window_ms=10_000, slack=56)


def make_allowance(started_ms=-BOUNDS.window_ms, inherited=None):
    allowance = RetryAllowance(BOUNDS, started_ms)
    allowance.inherit(inherited)
    allowance.cap.mark_stored()
    return allowance


def test_all_instances_together_stay_below_the_bound():
    """Guards against a retry storm of 8 instances.

    The instances do not communicate; their shares must not add up to more than the bound.
    """
    spent = 0
    for _ in range(8):
        allowance = make_allowance()
        allowance.instances = 8
        for _ in range(20):
            allowance.count_request('pool', 1_000)
        spent += sum(allowance.try_spend('pool', 1_000).granted for _ in range(100))

    assert 0 < spent <= 0.2 * 160 + 56


def test_instances_that_have_just_started_use_no_slack():
    """Guards against a retry storm after a restart.

    All instances were killed and start simultaneously.  Each knows only itself; if each
    used the whole slack, the service would receive it 60 times.
    """
    allowance = make_allowance()
    for _ in range(20):
        allowance.count_request('pool', 1_000)

    assert (
        sum(allowance.try_spend('pool', 1_000).granted for _ in range(100)) <= 0.2 * 20
    )


def test_spent_retries_expire_after_the_window():
    allowance = make_allowance()
    allowance.instances = 1
    while allowance.try_spend('pool', 1_000).granted:
        pass

    assert not allowance.try_spend('pool', 10_999).granted
    assert allowance.try_spend('pool', 11_000).granted


def test_services_have_separate_windows():
    allowance = make_allowance()
    allowance.instances = 1
    while allowance.try_spend('pool', 1_000).granted:
        pass

    assert allowance.try_spend('desk', 1_000).granted


def test_run_without_data_about_earlier_runs_waits_for_a_window():
    """Guards against spending again what a killed run has already spent."""
    allowance = make_allowance(0)
    allowance.instances = 1
    for _ in range(20):
        allowance.count_request('pool', 9_000)

    assert not allowance.try_spend('pool', 9_999).granted
    assert allowance.try_spend('pool', 10_000).granted


def test_run_spends_what_the_previous_run_has_left():
    allowance = make_allowance(0, inherited=4)
    allowance.instances = 8
    allowance.cap.change_confirmed(9)

    assert sum(allowance.try_spend('pool', 1_000).granted for _ in range(9)) == 1
    assert sum(allowance.try_spend('pool', 10_000).granted for _ in range(9)) == 4


def test_run_sends_no_more_than_its_entry_states():
    """Guards against retries of a killed run that the next run does not count."""
    allowance = make_allowance(0, inherited=0)
    allowance.instances = 8
    granted = [allowance.try_spend('pool', 1_000).granted for _ in range(9)]
    change = allowance.find_cap_change(1_000)

    assert sum(granted) == INITIAL_RETRIES
    assert change == 6
    allowance.cap.change_started(change)
    assert not allowance.try_spend('pool', 1_000).granted
    allowance.cap.change_confirmed(change)
    assert allowance.try_spend('pool', 1_000).granted


def test_cap_is_lowered_after_a_calm_window():
    """Guards against a killed run that keeps the next one from retrying for a window."""
    allowance = make_allowance(0)
    allowance.instances = 1

    assert allowance.find_cap_change(9_999) is None
    assert allowance.find_cap_change(10_000) == INITIAL_RETRIES
    allowance.cap.change_started(INITIAL_RETRIES)
    assert allowance.find_cap_change(10_000) is None
    granted = [allowance.try_spend('pool', 11_000).granted for _ in range(9)]
    assert sum(granted) == INITIAL_RETRIES


def test_first_entry_states_what_the_previous_run_may_have_spent():
    """Guards against omitting the retries of a run followed by 2 runs in a window."""
    assert RetryAllowance(BOUNDS, 0).inherit(9) == 9
    assert RetryAllowance(BOUNDS, 0).inherit(1) == INITIAL_RETRIES
    assert RetryAllowance(BOUNDS, 0).inherit(None) is None


def test_leaving_run_states_the_most_that_it_can_have_spent():
    allowance = make_allowance()
    allowance.instances = 8
    assert allowance.try_spend('pool', 1_000).granted
    maximum = allowance.close(2_000)

    assert maximum == 2
    assert sum(allowance.try_spend('pool', 2_000).granted for _ in range(9)) == 1
    assert make_allowance(0).close(1_000) is None


def test_late_confirmation_does_not_raise_the_cap_of_a_run_that_has_left():
    """Guards against retries beyond the maximum that a leaving run has stated."""
    allowance = make_allowance(0, inherited=0)
    allowance.instances = 1
    allowance.cap.change_started(40)
    maximum = allowance.close(1_000)
    allowance.cap.change_confirmed(40)

    assert maximum == 1
    assert sum(allowance.try_spend('pool', 1_000).granted for _ in range(9)) == 1
