"""Tests of the bound on repeats that all instances share."""

from __future__ import annotations

from savorychute.gateway.recovery.retry_allowance import RetryAllowance, RetryBounds

BOUNDS = RetryBounds(ratio=0.2, window_ms=10_000, slack=56)


def test_all_instances_together_stay_below_the_bound():
    """A retry storm of eight instances.

    None of them asks another; their parts of the slack must not add up to more.
    """
    spent = 0
    for _ in range(8):
        allowance = RetryAllowance(BOUNDS, -BOUNDS.window_ms)
        allowance.instances = 8
        for _ in range(20):
            allowance.request('pool', 1_000)
        spent += sum(allowance.try_spend('pool', 1_000).granted for _ in range(100))

    assert 0 < spent <= 0.2 * 160 + 56


def test_instances_that_have_just_started_take_no_part_of_the_slack():
    """A retry storm after a restart.

    All instances were killed and start at once.  Each knows only itself; if each took the
    whole slack, the service would get it sixty times.
    """
    allowance = RetryAllowance(BOUNDS, -BOUNDS.window_ms)
    for _ in range(20):
        allowance.request('pool', 1_000)

    assert (
        sum(allowance.try_spend('pool', 1_000).granted for _ in range(100)) <= 0.2 * 20
    )


def test_spent_repeats_come_back_after_the_window():
    allowance = RetryAllowance(BOUNDS, -BOUNDS.window_ms)
    allowance.instances = 1
    while allowance.try_spend('pool', 1_000).granted:
        pass

    assert not allowance.try_spend('pool', 10_999).granted
    assert allowance.try_spend('pool', 11_000).granted


def test_services_do_not_share_a_window():
    allowance = RetryAllowance(BOUNDS, -BOUNDS.window_ms)
    allowance.instances = 1
    while allowance.try_spend('pool', 1_000).granted:
        pass

    assert allowance.try_spend('desk', 1_000).granted


def test_run_that_knows_nothing_of_the_one_before_waits_for_a_window():
    """Guards against a part of the bound that a killed run has spent already."""
    allowance = RetryAllowance(BOUNDS, 0)
    allowance.instances = 1
    for _ in range(20):
        allowance.request('pool', 9_000)

    assert not allowance.try_spend('pool', 9_999).granted
    assert allowance.try_spend('pool', 10_000).granted


def test_run_goes_on_with_what_the_one_before_has_left():
    allowance = RetryAllowance(BOUNDS, 0)
    allowance.instances = 8
    allowance.inherit(4)

    assert sum(allowance.try_spend('pool', 1_000).granted for _ in range(9)) == 1
    assert sum(allowance.try_spend('pool', 10_000).granted for _ in range(9)) == 4


def test_leaving_run_says_the_most_that_it_can_still_spend():
    allowance = RetryAllowance(BOUNDS, -BOUNDS.window_ms)
    allowance.instances = 8
    assert allowance.try_spend('pool', 1_000).granted
    most = allowance.close(2_000)

    assert most == 2
    assert sum(allowance.try_spend('pool', 2_000).granted for _ in range(9)) == 1
    assert RetryAllowance(BOUNDS, 0).close(1_000) is None
