"""Tests for the derivation of limits."""

from __future__ import annotations

import pytest

from savorychute.contracts.limits import derive_limits


@pytest.fixture
def document():
    return {
        'organisation': 'kuttanad-pumps',
        'token_hashes': [],
        'pool_share': 0.2,
        'requests_per_s': 40.0,
        'concurrent_requests': 64,
        'tokens_per_s': 9000.0,
        'models': ['diagnosis'],
        'classes': [
            {
                'name': 'breakdown-diagnosis',
                'tier': 0,
                'first_token_target_ms': 300,
                'token_gap_target_ms': 50,
                'timeout_ms': 10_000,
                'weight': 5.0,
                'idempotent': True,
            },
            {
                'name': 'history-summary',
                'tier': 3,
                'first_token_target_ms': 8_000,
                'token_gap_target_ms': 200,
                'timeout_ms': 12_000,
                'weight': 1.0,
                'idempotent': False,
                'patient': True,
                'minimum_share': 0.1,
            },
        ],
    }


def test_organisation_limits_equal_those_of_the_contract(document):
    limits = derive_limits(document)

    assert limits.organisation == 'kuttanad-pumps'
    assert limits.requests_per_s == 40.0
    assert limits.concurrent_requests == 64
    assert limits.tokens_per_s == 9000.0
    assert limits.pool_share == 0.2


def test_class_limits_are_derived_from_class_and_organisation(document):
    classes = derive_limits(document).classes

    diagnosis = classes['breakdown-diagnosis']
    assert diagnosis.queue_wait_ms == 9_700
    assert diagnosis.queue_requests == 388
    assert diagnosis.priority == 0
    assert not diagnosis.patient
    summary = classes['history-summary']
    assert summary.queue_wait_ms == 6_000
    assert summary.patient
    assert not summary.idempotent
    assert summary.minimum_share == 0.1


def test_class_without_a_stated_minimum_still_gets_starts(document):
    assert derive_limits(document).classes['breakdown-diagnosis'].minimum_share > 0


@pytest.mark.parametrize('requests_per_s, seats', [(1.0, 3), (75.0, 3), (76.0, 4)])
def test_seats_grow_with_the_rate(document, requests_per_s, seats):
    document['requests_per_s'] = requests_per_s

    assert derive_limits(document).seats == seats
