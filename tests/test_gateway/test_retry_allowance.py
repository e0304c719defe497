"""Tests of the bound on repeats that all instances share."""

from __future__ import annotations

from savorychute.gateway.recovery.repeat_cap import FIRST_REPEATS
from savorychute.gateway.recovery.retry_allowance import RetryAllowance, RetryBounds

BOUNDS = RetryBounds(ratio=0.2, window_ms=10_000, slack=56)


def make_allowance(started_ms=-BOUNDS.window_ms, inherited=None):
    allowance = RetryAllowance(BOUNDS, started_ms)
    allowance.inherit(inherited)
    allowance.cap.entered()
    return allowance


def test_all_instances_together_stay_below_the_bound():
    """A retry storm of eight instances.

    None of them asks another; their parts of the slack must not add up to more.
    """
    spent = 0
    for _ in range(8):
        allowance = make_allowance()
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
    allowance = make_allowance()
    for _ in range(20):
        allowance.request('pool', 1_000)

    assert (
        sum(allowance.try_spend('pool', 1_000).granted for _ in range(100)) <= 0.2 * 20
    )


def test_spent_repeats_come_back_after_the_window():
    allowance = make_allowance()
    allowance.instances = 1
    while allowance.try_spend('pool', 1_000).granted:
        pass

    assert not allowance.try_spend('pool', 10_999).granted
    assert allowance.try_spend('pool', 11_000).granted


def test_services_do_not_share_a_window():
    allowance = make_allowance()
    allowance.instances = 1
    while allowance.try_spend('pool', 1_000).granted:
        pass

    assert allowance.try_spend('desk', 1_000).granted


def test_run_that_knows_nothing_of_the_one_before_waits_for_a_window():
    """Guards against a part of the bound that a killed run has spent already."""
    allowance = make_allowance(0)
    allowance.instances = 1
    for _ in range(20):
        allowance.request('pool', 9_000)

    assert not allowance.try_spend('pool', 9_999).granted
    assert allowance.try_spend('pool', 10_000).granted


def test_run_goes_on_with_what_the_one_before_has_left():
    allowance = make_allowance(0, inherited=4)
    allowance.instances = 8
    allowance.cap.change_is_known(9)

    assert sum(allowance.try_spend('pool', 1_000).granted for _ in range(9)) == 1
    assert sum(allowance.try_spend('pool', 10_000).granted for _ in range(9)) == 4


def test_run_sends_no_more_than_its_entry_says():
    """Guards against repeats that the next run of a killed one knows nothing of."""
    allowance = make_allowance(0, inherited=0)
    allowance.instances = 8
    granted = [allowance.try_spend('pool', 1_000).granted for _ in range(9)]
    change = allowance.cap_change(1_000)

    assert sum(granted) == FIRST_REPEATS
    assert change == 6
    allowance.cap.change_begins(change)
    assert not allowance.try_spend('pool', 1_000).granted
    allowance.cap.change_is_known(change)
    assert allowance.try_spend('pool', 1_000).granted


def test_entry_says_little_again_after_a_calm_window():
    """Guards against a run that is killed in a calm hour and costs the next one a window."""
    allowance = make_allowance(0)
    allowance.instances = 1

    assert allowance.cap_change(9_999) is None
    assert allowance.cap_change(10_000) == FIRST_REPEATS
    allowance.cap.change_begins(FIRST_REPEATS)
    assert allowance.cap_change(10_000) is None
    granted = [allowance.try_spend('pool', 11_000).granted for _ in range(9)]
    assert sum(granted) == FIRST_REPEATS


def test_first_entry_tells_what_the_run_before_may_have_spent():
    """Guards against the repeats of a run that is followed by two in one window."""
    assert RetryAllowance(BOUNDS, 0).inherit(9) == 9
    assert RetryAllowance(BOUNDS, 0).inherit(1) == FIRST_REPEATS
    assert RetryAllowance(BOUNDS, 0).inherit(None) is None


def test_leaving_run_says_the_most_that_it_can_still_spend():
    allowance = make_allowance()
    allowance.instances = 8
    assert allowance.try_spend('pool', 1_000).granted
    most = allowance.close(2_000)

    assert most == 2
    assert sum(allowance.try_spend('pool', 2_000).granted for _ in range(9)) == 1
    assert make_allowance(0).close(1_000) is None


def test_run_that_has_left_is_not_raised_by_an_answer_that_was_on_its_way():
    """Guards against repeats beyond the word of a leaving run."""
    allowance = make_allowance(0, inherited=0)
    allowance.instances = 1
    allowance.cap.change_begins(40)
    most = allowance.close(1_000)
    allowance.cap.change_is_known(40)

    assert most == 1
    assert sum(allowance.try_spend('pool', 1_000).granted for _ in range(9)) == 1
