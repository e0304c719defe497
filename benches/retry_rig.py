"""Simulates retries and ejection while most of a pool is unavailable."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.recovery import (
    Ejector,
    EjectorSettings,
    RetryBudget,
    RetrySettings,
)

if TYPE_CHECKING:
    import random

RETRY_SHARE = 0.1
ENDPOINTS = 9
ORGANISATIONS = 10
OUTAGE_MS = 10_000
DURATION_MS = 30_000
LOCAL_FAILURE_MS = 2
RESPONSE_MS = 200


class OutageFigures(NamedTuple):
    """Attempts per request and the share of successful requests."""

    attempts_per_request: float
    success_share: float


def run_outage(
    dead: int, max_attempts: int, budgeted: bool, ejecting: bool, rng: random.Random
) -> OutageFigures:
    """Send 100 requests a second through one instance during an outage.

    :param dead: number of the nine endpoints that refuse connections for 10 s.
    :param max_attempts: maximum number of attempts of a request.
    :param budgeted: whether the retries of an organisation are limited.
    :param ejecting: whether endpoints are ejected.
    """
    names = [f'endpoint-{number}' for number in range(ENDPOINTS)]
    ejector = Ejector(EjectorSettings(), rng)
    ejector.set_endpoints({name: {'models': ['m']} for name in names})
    budget = RetryBudget(RetrySettings())
    requests = attempts = succeeded = 0
    for now_ms in range(0, DURATION_MS, 10):
        organisation = f'organisation-{rng.randrange(ORGANISATIONS)}'
        budget.record_request(organisation, now_ms)
        requests += 1
        for attempt in range(max_attempts):
            is_retry = attempt > 0 and budgeted
            if is_retry and not budget.try_spend(organisation, RETRY_SHARE, now_ms):
                break
            at_ms = now_ms + attempt * LOCAL_FAILURE_MS
            usable = [name for name in names if ejector.admits(name, at_ms)]
            name = rng.choice(usable if ejecting and usable else names)
            attempts += 1
            if at_ms >= OUTAGE_MS or names.index(name) >= dead:
                ejector.record_success(name, at_ms + RESPONSE_MS)
                succeeded += 1
                break
            ejector.record_failure(name, at_ms, crashed=True)
    return OutageFigures(attempts / requests, succeeded / requests)
