"""Tests of the demand by which engines are divided into lanes."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gateway_fakes import make_entry, make_prompt

from savorychute.gateway.dispatch.engine_model import EngineModel
from savorychute.gateway.dispatch.lane_demand import LaneDemand
from savorychute.gateway.dispatch.lane_split import LaneSplit
from savorychute.gateway.dispatch.need import Need
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# What engines are taken for before they have shown anything.
MODEL = EngineModel()
INSTANCES = 60
ENGINES = 45
STEADY_PER_S = 57
OTHERS_PER_S = 120
STEP_MS = 100
PROBE_MS = 500
CALM_MS = 10_000
LONG = Need(make_prompt('l'), 1_000)
SHORT = Need(make_prompt('s', shared=350, own=1_100, answer=170), 250)


@pytest.fixture
def engines():
    return [EndpointRecord(make_entry(f'e{n}', 'pool')) for n in range(ENGINES)]


def live(demands, rng, now_ms, steady_per_s=STEADY_PER_S):
    """Let a tenth of a second pass: requests come, and some instances are probed."""
    for demand in demands:
        for need, per_s in ((SHORT, steady_per_s), (LONG, OTHERS_PER_S)):
            if rng.random() < per_s * STEP_MS / 1_000 / len(demands):
                demand.note(need, now_ms, MODEL)
    if now_ms % PROBE_MS:
        return
    for demand in demands:
        other = rng.choice(demands)
        if other is not demand:
            demand.hear(other.advertised(now_ms), now_ms)
            other.hear(demand.advertised(now_ms), now_ms)


def in_both_lanes(demands, engines):
    """Return for how many engines of one instance another sees the other lane."""
    lanes = [LaneSplit(demand) for demand in demands]
    steady, others = Counter(), Counter()
    for lane in lanes:
        steady.update(each.entry.endpoint for each in lane.lane(engines, apart=True))
        others.update(each.entry.endpoint for each in lane.lane(engines, apart=False))
    return sum(min(steady[name], others[name]) for name in steady) / len(demands)


def test_instances_agree_on_the_lanes(engines):
    """Diagnoses that stuttered on a calm day of sixty instances.

    Each instance sees one diagnosis a second and two other requests.  From these alone
    each made its own lanes, and 0.75 of the five steady engines got long prompts from
    some of the others.
    """
    rng = random.Random(1)
    demands = [LaneDemand() for _ in range(INSTANCES)]
    shared = []
    for now_ms in range(0, CALM_MS, STEP_MS):
        live(demands, rng, now_ms)
        if now_ms > CALM_MS / 2:
            shared.append(in_both_lanes(demands, engines))

    assert sum(shared) / len(shared) < 0.1


def test_lane_grows_in_a_burst(engines):
    rng = random.Random(1)
    demands = [LaneDemand() for _ in range(INSTANCES)]
    sizes = []
    for now_ms in range(0, CALM_MS + 8_000, STEP_MS):
        burst = 2.5 if now_ms >= CALM_MS else 1.0
        live(demands, rng, now_ms, burst * STEADY_PER_S)
        sizes.append(len(LaneSplit(demands[0]).lane(engines, apart=True)))

    assert sizes[-1] > sizes[CALM_MS // STEP_MS - 1]


def test_lane_keeps_what_its_streams_need_while_all_else_bursts():
    """Urgent streams that paused beside summaries, a third of them.

    Summaries come at five times their usual.  The share of steady streams falls to a few
    hundredths, and by their share they get one or two engines; 90 of them run, which is
    what three engines run beside each other.  The others were sent to engines that read.
    """
    rng = random.Random(1)
    demands = [LaneDemand() for _ in range(INSTANCES)]
    for now_ms in range(0, CALM_MS, STEP_MS):
        for demand in demands:
            demand.observe(90 // INSTANCES + (rng.random() < 0.5), INSTANCES, now_ms)
            for _ in range(5):
                demand.note(LONG, now_ms, MODEL)
        live(demands, rng, now_ms)

    engines = [
        EndpointRecord(make_entry(f'e{n}', 'pool', slots=64)) for n in range(ENGINES)
    ]
    sizes = [len(LaneSplit(demand).lane(engines, apart=True)) for demand in demands]

    assert demands[0].steady_share() * ENGINES < 1
    assert min(sizes) >= 2
    assert max(sizes) <= 4


def test_streams_that_run_never_take_more_than_half_of_the_engines(engines):
    demand = LaneDemand()
    for now_ms in range(0, CALM_MS, STEP_MS):
        demand.observe(10_000, 1, now_ms)
        demand.note(LONG, now_ms, MODEL)
        demand.note(SHORT, now_ms, MODEL)

    lane = LaneSplit(demand).lane(engines, apart=True)

    assert len(lane) <= ENGINES / 2


def test_streams_that_run_are_told_and_heard():
    teller, listener = LaneDemand(), LaneDemand()
    for now_ms in range(0, 5_000, STEP_MS):
        teller.observe(6, 2, now_ms)
        listener.observe(0, 2, now_ms)

    listener.hear(teller.advertised(5_000), 5_000)

    assert listener.steady_streams() == pytest.approx(6, abs=0.1)


def test_without_requests_there_is_no_demand():
    demand = LaneDemand()
    demand.note(Need(), 0, MODEL)
    demand.note(Need(), 60_000, MODEL)

    assert demand.steady_share() == 0.0
    assert demand.advertised(60_000) == 0


def test_what_is_told_is_what_is_heard():
    teller, listener = LaneDemand(), LaneDemand()
    teller.note(SHORT, 0, MODEL)
    teller.note(LONG, 0, MODEL)
    listener.note(Need(), 0, MODEL)
    listener.note(Need(), 60_000, MODEL)

    listener.hear(teller.advertised(0), 60_000)

    assert listener.steady_share() == pytest.approx(teller.steady_share(), abs=0.01)


def test_first_guess_stays_until_the_first_request():
    """Prompts that were read twice at the begin of a day.

    Instances start sixteen seconds before their callers and tell each other their demand
    ten times a second.  The guess that makes lanes before the first request was gone by
    then; the first prompts got homes that they lost when the lanes came.
    """
    demand, other = LaneDemand(), LaneDemand()
    guess = demand.steady_share()
    for now_ms in range(0, 16_000, STEP_MS):
        other.hear(demand.advertised(now_ms), now_ms)
        demand.hear(other.advertised(now_ms), now_ms)

    assert demand.steady_share() == pytest.approx(guess, abs=0.01)
    assert demand.advertised(16_000) == LaneDemand().advertised(0)
