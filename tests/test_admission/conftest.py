"""Fixtures of the admission tests."""

from __future__ import annotations

import random

import pytest

from savorychute.admission import AdmissionSettings, QueuedRequest, TieredAdmission
from tests.test_admission.limits_factory import build_limits


@pytest.fixture
def make_request():
    """Return a function that builds requests with ascending ids."""
    count = 0

    def make(organisation='a', tier=0, arrival_ms=0, **changes):
        nonlocal count
        count += 1
        request = QueuedRequest(
            request_id=f'r{count}',
            organisation=organisation,
            class_name=f't{tier}',
            tier=tier,
            pool='m',
            arrival_ms=arrival_ms,
            deadline_ms=arrival_ms + 10_000,
            first_token_target_ms=300 * (tier + 1),
            size_bytes=100,
            expected_tokens=100,
            patient=False,
            weight=1.0,
            minimum_share=0.05,
        )
        return request._replace(**changes)

    return make


@pytest.fixture
def make_queue():
    """Return a function that builds a queue with limits for its organisations."""

    def make(shares=None, limit_options=None, **settings):
        queue = TieredAdmission(AdmissionSettings(**settings), random.Random(1))
        queue.set_limits(build_limits(shares or {'a': 0.1}, **(limit_options or {})))
        return queue

    return make


@pytest.fixture
def start_all():
    """Return a function that starts all waiting requests and lists them in order."""

    def start(queue, pool='m', now_ms=0):
        started = []
        while (request := queue.next_start(pool, now_ms, lambda _: True)) is not None:
            started.append(request)
        return started

    return start
