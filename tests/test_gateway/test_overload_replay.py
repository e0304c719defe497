"""Replays of load beyond what an engine can serve."""

from __future__ import annotations

import random
from collections import deque
from statistics import fmean

import pytest
from gateway_fakes import make_entry, make_prompt

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.need import Need
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
from savorychute.gateway.endpoints.engine_load import EngineLoad

STEP_MS = 10
DAY_MS = 20_000
PLACES = 12
ENDS_PER_S = 10
TARGET_MS = 1_200
REPORT_AGE_MS = 300
REPORT_LAG_MS = 200
SUMMARY = Need(make_prompt(), 800, target_ms=TARGET_MS, rank=7)


class Engine:
    """Ends requests at a fixed rate, and tells its load as it was a while ago."""

    def __init__(self):
        self.requests = deque()
        self.waits_ms = []
        self._loads = deque()
        self._credit = 0.0

    def step(self, now_ms):
        self._credit = min(1.0, self._credit + ENDS_PER_S * STEP_MS / 1_000)
        while self.requests and self._credit >= 1.0:
            self._credit -= 1.0
            in_place_ms = 1_000 * PLACES / ENDS_PER_S
            self.waits_ms.append(now_ms - self.requests.popleft() - in_place_ms)
        waiting = max(0, len(self.requests) - PLACES)
        load = EngineLoad(waiting, 0, len(self.requests) - waiting, 5_000)
        self._loads.append(load)
        if len(self._loads) > REPORT_LAG_MS // STEP_MS:
            self._loads.popleft()

    def report(self):
        return self._loads[0]


class Instance:
    """Asks for a report when its own is too old, and lets its guard decide."""

    def __init__(self, engine, seed):
        self._engine = engine
        self._record = EndpointRecord(make_entry('e0', 'pool', slots=PLACES))
        self._guard = OverloadGuard(random.Random(seed))

    def offer(self, now_ms):
        record = self._record
        age_ms = record.load_age_ms(now_ms)
        if age_ms is None or age_ms > REPORT_AGE_MS:
            record.report(self._engine.report(), now_ms)
        wait_ms = 1_000 * max(0, record.load.taken - PLACES) / ENDS_PER_S
        choice = Choice(record, 4_000, wait_ms, wait_ms, load_known=True)
        taken = self._guard.admits(choice, SUMMARY, now_ms)
        if taken:
            self._engine.requests.append(now_ms)
        return taken


def play(instances, offered_per_s, seed):
    """Offer requests for a while; return the engine and the part that was refused.

    Whoever is refused comes back once, as callers do.
    """
    rng = random.Random(seed)
    engine = Engine()
    fleet = [Instance(engine, seed + number) for number in range(instances)]
    coming = []
    refused = offered = 0
    for now_ms in range(0, DAY_MS, STEP_MS):
        engine.step(now_ms)
        due = [each for each in coming if each <= now_ms]
        coming = [each for each in coming if each > now_ms]
        fresh = rng.random() < offered_per_s * STEP_MS / 1_000
        for again in [False] * fresh + [True] * len(due):
            offered += 1
            if rng.choice(fleet).offer(now_ms):
                continue
            refused += 1
            if not again:
                coming.append(now_ms + rng.randint(800, 2_000))
    return engine, refused / offered


def in_time_share(engine):
    return fmean(wait_ms <= TARGET_MS for wait_ms in engine.waits_ms)


@pytest.mark.parametrize('instances', [8, 17, 82])
def test_twice_what_an_engine_can_serve(instances):
    """Summaries that were taken and came late, nearly a third of them.

    Reports are half a second old when they are used, and all instances use them.  With a
    single limit all saw room at the same moment and sent 30 requests to an engine that ends
    ten a second; then nobody sent any until the queue was gone.
    """
    shares, ended = [], []
    for seed in range(4):
        engine, _ = play(instances, 2 * ENDS_PER_S, 100 * seed)
        shares.append(in_time_share(engine))
        ended.append(len(engine.waits_ms) * 1_000 / DAY_MS)

    assert fmean(shares) > 0.8
    assert fmean(ended) > 0.9 * ENDS_PER_S


def test_what_an_engine_can_serve_is_taken():
    refused = [play(17, 0.7 * ENDS_PER_S, 100 * seed)[1] for seed in range(4)]

    assert fmean(refused) < 0.03
