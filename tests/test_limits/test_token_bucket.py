"""Tests of token buckets."""

from __future__ import annotations

import pytest

from savorychute.limits.token_bucket import TokenBucket


@pytest.fixture
def bucket():
    bucket = TokenBucket(10.0, 0)
    bucket.set_rate(10.0, 10.0, 0)
    return bucket


def test_permits_accrue_up_to_the_capacity(bucket):
    bucket.spend(10, 0)

    assert bucket.wait_ms(5, 0) == 500
    assert bucket.wait_ms(5, 500) == 0
    assert bucket.wait_ms(10, 60_000) == 0
    bucket.spend(10, 60_000)
    assert bucket.wait_ms(1, 60_000) == 100


def test_amount_above_the_capacity_makes_the_level_negative(bucket):
    assert bucket.wait_ms(30, 0) == 0
    bucket.spend(30, 0)

    assert bucket.wait_ms(1, 0) == 2_100


def test_lower_rate_forfeits_accrued_permits(bucket):
    bucket.set_rate(1.0, 1.0, 0)
    bucket.spend(1, 0)

    assert bucket.wait_ms(1, 0) == 1_000


def test_rate_of_zero_permits_nothing():
    bucket = TokenBucket(0.0, 0)

    assert bucket.wait_ms(1, 10_000) == float('inf')
