"""Tests of the retry budget."""

from __future__ import annotations

from savorychute.recovery import RetryBudget, RetrySettings
from savorychute.recovery.retry_budget import INITIAL_RETRIES


def test_retries_in_an_outage_are_a_tenth_of_the_requests():
    """Most of a pool is unavailable and every attempt fails.

    If each were retried, the rest of the pool would get a multiple of its load.
    """
    budget = RetryBudget(RetrySettings(burst=5.0, floor_per_s=0.1))
    retries = 0
    for now_ms in range(0, 10_000, 10):
        budget.record_request('salt-lake-stores', now_ms)
        retries += budget.try_spend('salt-lake-stores', 0.1, now_ms)

    assert 100 <= retries <= 100 + 5 + 1


def test_one_organisation_does_not_spend_anothers_retries():
    budget = RetryBudget(RetrySettings())
    while budget.try_spend('a', 0.1, 0):
        pass
    assert budget.try_spend('b', 0.1, 0)


def test_hour_without_retries_accumulates_only_the_burst():
    budget = RetryBudget(RetrySettings(burst=5.0))
    for now_ms in range(0, 3_600_000, 100):
        budget.record_request('a', now_ms)
    retries = sum(budget.try_spend('a', 0.1, 3_600_000) for _ in range(50))
    assert retries == 5


def test_organisation_with_few_requests_can_retry():
    budget = RetryBudget(RetrySettings(burst=1.0, floor_per_s=0.1))
    assert budget.try_spend('a', 0.1, 0)
    assert not budget.try_spend('a', 0.1, 5_000)
    assert budget.try_spend('a', 0.1, 10_000)


def test_number_of_organisations_is_bounded():
    budget = RetryBudget(RetrySettings(organisations=10))
    for number in range(100):
        budget.record_request(f'c{number}', 0)
    assert len(budget) == 10


def test_repeated_restarts_do_not_grant_a_burst_each_time():
    """Guards against a full burst of retries after each start of an instance."""
    starts, retries = 20, 0
    for number in range(starts):
        budget = RetryBudget(RetrySettings(burst=5.0))
        for now_ms in range(number * 500, (number + 1) * 500, 100):
            budget.record_request('salt-lake-stores', now_ms)
            retries += budget.try_spend('salt-lake-stores', 0.1, now_ms)

    assert retries <= 0.1 * starts * 5 + INITIAL_RETRIES * starts
