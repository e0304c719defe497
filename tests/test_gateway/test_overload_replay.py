"""Simulations of load beyond the capacity of an engine."""

from __future__ import annotations

import random
from collections import deque
from statistics import fmean

import pytest
from gateway_fakes import make_entry, make_prompt

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad

STEP_MS = 10
DURATION_MS = 20_000
SLOTS = 12
COMPLETED_PER_S = 10
TARGET_MS = 1_200
REPORT_AGE_MS = 300
REPORT_LAG_MS = 200
SUMMARY = RequestRequirements(make_prompt(), 800, target_ms=TARGET_MS, rank=7)


class Engine:
    """Completes requests at a fixed rate, and reports its load with a lag."""

    def __init__(self):
        self.requests = deque()
        self.waits_ms = []
        self._loads = deque()
        self._credit = 0.0

    def step(self, now_ms):
        self._credit = min(1.0, self._credit + COMPLETED_PER_S * STEP_MS / 1_000)
        while self.requests and self._credit >= 1.0:
            self._credit -= 1.0
            in_slot_ms = 1_000 * SLOTS / COMPLETED_PER_S
            self.waits_ms.append(now_ms - self.requests.popleft() - in_slot_ms)
        waiting = max(0, len(self.requests) - SLOTS)
        load = EngineLoad(waiting, 0, len(self.requests) - waiting, 5_000)
        self._loads.append(load)
        if len(self._loads) > REPORT_LAG_MS // STEP_MS:
            self._loads.popleft()

    def report(self):
        return self._loads[0]


class Instance:
    """Requests a report when its last one is too old, and applies its guard."""

    def __init__(self, engine, seed):
        self._engine = engine
        self._record = EndpointRecord(make_entry('e0', 'pool', slots=SLOTS))
        self._guard = OverloadGuard(random.Random(seed))

    def offer_request(self, now_ms):
        record = self._record
        age_ms = record.load_age_ms(now_ms)
        if age_ms is None or age_ms > REPORT_AGE_MS:
            record.apply_report(self._engine.report(), now_ms)
        wait_ms = 1_000 * max(0, record.load.requests - SLOTS) / COMPLETED_PER_S
        choice = Choice(record, 4_000, wait_ms, wait_ms, load_known=True)
        is_admitted = self._guard.admits(choice, SUMMARY, now_ms)
        if is_admitted:
            self._engine.requests.append(now_ms)
        return is_admitted


def run_simulation(instances, offered_per_s, seed):
    """Offer requests for a while; return the engine and the share that was refused.

    Refused callers retry once.
    """
    rng = random.Random(seed)
    engine = Engine()
    all_instances = [Instance(engine, seed + number) for number in range(instances)]
    retries = []
    refused = offered = 0
    for now_ms in range(0, DURATION_MS, STEP_MS):
        engine.step(now_ms)
        due = [each for each in retries if each <= now_ms]
        retries = [each for each in retries if each > now_ms]
        fresh = rng.random() < offered_per_s * STEP_MS / 1_000
        for is_retry in [False] * fresh + [True] * len(due):
            offered += 1
            if rng.choice(all_instances).offer_request(now_ms):
                continue
            refused += 1
            if not is_retry:
                retries.append(now_ms + rng.randint(800, 2_000))
    return engine, refused / offered


def in_time_share(engine):
    return fmean(wait_ms <= TARGET_MS for wait_ms in engine.waits_ms)


@pytest.mark.parametrize('instances', [8, 17, 82])
def test_admitted_requests_are_in_time_at_twice_the_capacity(instances):
    """Guards against summaries that are admitted but late, nearly a third of them.

    Reports are half a second old when they are used, and all instances use them.  With
    a single threshold all instances saw capacity at the same time and sent 30 requests
    to an engine that completes ten per second, and then none until its queue had
    drained.
    """
    shares, completed_per_s = [], []
    for seed in range(4):
        engine, _ = run_simulation(instances, 2 * COMPLETED_PER_S, 100 * seed)
        shares.append(in_time_share(engine))
        completed_per_s.append(len(engine.waits_ms) * 1_000 / DURATION_MS)

    assert fmean(shares) > 0.8
    assert fmean(completed_per_s) > 0.9 * COMPLETED_PER_S


def test_load_within_capacity_is_admitted():
    refused = [
        run_simulation(17, 0.7 * COMPLETED_PER_S, 100 * seed)[1] for seed in range(4)
    ]

    assert fmean(refused) < 0.03
