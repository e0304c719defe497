"""Tests of the demand by which engines are partitioned."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gateway_fakes import make_entry, make_prompt

from savorychute.gateway.dispatch.engine_model import EngineModel
from savorychute.gateway.dispatch.engine_partition import EnginePartition
from savorychute.gateway.dispatch.partition_demand import PartitionDemand
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# The model before any observation.
MODEL = EngineModel()
INSTANCES = 60
ENGINES = 45
SENSITIVE_PER_S = 57
OTHERS_PER_S = 120
STEP_MS = 100
PROBE_MS = 500
CALM_MS = 10_000
LONG = RequestRequirements(make_prompt('l'), 1_000)
SHORT = RequestRequirements(make_prompt('s', shared=350, own=1_100, answer=170), 250)


@pytest.fixture
def engines():
    return [EndpointRecord(make_entry(f'e{n}', 'pool')) for n in range(ENGINES)]


def advance_step(demands, rng, now_ms, sensitive_per_s=SENSITIVE_PER_S):
    """Simulate 100 ms: requests arrive, and some instances exchange reports."""
    for demand in demands:
        for requirements, per_s in ((SHORT, sensitive_per_s), (LONG, OTHERS_PER_S)):
            if rng.random() < per_s * STEP_MS / 1_000 / len(demands):
                demand.record_request(requirements, now_ms, MODEL)
    if now_ms % PROBE_MS:
        return
    for demand in demands:
        other = rng.choice(demands)
        if other is not demand:
            demand.record_reported(other.advertised(now_ms), now_ms)
            other.record_reported(demand.advertised(now_ms), now_ms)


def count_engines_in_both_partitions(demands, engines):
    """Return how many engines of one instance are in the other partition elsewhere."""
    partitions = [EnginePartition(demand) for demand in demands]
    sensitive, others = Counter(), Counter()
    for partition in partitions:
        sensitive.update(
            each.entry.endpoint for each in partition.select(engines, isolated=True)
        )
        others.update(
            each.entry.endpoint for each in partition.select(engines, isolated=False)
        )
    return sum(min(sensitive[name], others[name]) for name in sensitive) / len(demands)


def test_instances_agree_on_partitions(engines):
    """Guards against late diagnoses under light load with sixty instances.

    Each instance receives one diagnosis and two other requests per second.  Based on
    these alone each had its own partitions, and 0.75 of the five dedicated engines got
    long prompts from some of the other instances.
    """
    rng = random.Random(1)
    demands = [PartitionDemand() for _ in range(INSTANCES)]
    overlaps = []
    for now_ms in range(0, CALM_MS, STEP_MS):
        advance_step(demands, rng, now_ms)
        if now_ms > CALM_MS / 2:
            overlaps.append(count_engines_in_both_partitions(demands, engines))

    assert sum(overlaps) / len(overlaps) < 0.1


def test_partition_grows_in_a_burst(engines):
    rng = random.Random(1)
    demands = [PartitionDemand() for _ in range(INSTANCES)]
    sizes = []
    for now_ms in range(0, CALM_MS + 8_000, STEP_MS):
        burst = 2.5 if now_ms >= CALM_MS else 1.0
        advance_step(demands, rng, now_ms, burst * SENSITIVE_PER_S)
        sizes.append(len(EnginePartition(demands[0]).select(engines, isolated=True)))

    assert sizes[-1] > sizes[CALM_MS // STEP_MS - 1]


def test_partition_fits_running_streams_while_others_burst():
    """Guards against long gaps of a third of the urgent streams, beside summaries.

    Summaries arrive at five times their usual rate.  The share of latency-sensitive
    streams falls to a few hundredths, for which they would get one or two engines.  90
    of them run, the capacity of three engines, so the rest was sent to engines that
    prefill.
    """
    rng = random.Random(1)
    demands = [PartitionDemand() for _ in range(INSTANCES)]
    for now_ms in range(0, CALM_MS, STEP_MS):
        for demand in demands:
            demand.observe(90 // INSTANCES + (rng.random() < 0.5), INSTANCES, now_ms)
            for _ in range(5):
                demand.record_request(LONG, now_ms, MODEL)
        advance_step(demands, rng, now_ms)

    engines = [
        EndpointRecord(make_entry(f'e{n}', 'pool', slots=64)) for n in range(ENGINES)
    ]
    sizes = [
        len(EnginePartition(demand).select(engines, isolated=True))
        for demand in demands
    ]

    assert demands[0].sensitive_share() * ENGINES < 1
    assert min(sizes) >= 2
    assert max(sizes) <= 4


def test_running_streams_take_at_most_half_of_engines(engines):
    demand = PartitionDemand()
    for now_ms in range(0, CALM_MS, STEP_MS):
        demand.observe(10_000, 1, now_ms)
        demand.record_request(LONG, now_ms, MODEL)
        demand.record_request(SHORT, now_ms, MODEL)

    partition = EnginePartition(demand).select(engines, isolated=True)

    assert len(partition) <= ENGINES / 2


def test_running_streams_are_reported():
    reporter, receiver = PartitionDemand(), PartitionDemand()
    for now_ms in range(0, 5_000, STEP_MS):
        reporter.observe(6, 2, now_ms)
        receiver.observe(0, 2, now_ms)

    receiver.record_reported(reporter.advertised(5_000), 5_000)

    assert receiver.sensitive_streams() == pytest.approx(6, abs=0.1)


def test_without_requests_there_is_no_demand():
    demand = PartitionDemand()
    demand.record_request(RequestRequirements(), 0, MODEL)
    demand.record_request(RequestRequirements(), 60_000, MODEL)

    assert demand.sensitive_share() == 0.0
    assert demand.advertised(60_000) == 0


def test_received_demand_equals_reported_demand():
    reporter, receiver = PartitionDemand(), PartitionDemand()
    reporter.record_request(SHORT, 0, MODEL)
    reporter.record_request(LONG, 0, MODEL)
    receiver.record_request(RequestRequirements(), 0, MODEL)
    receiver.record_request(RequestRequirements(), 60_000, MODEL)

    receiver.record_reported(reporter.advertised(0), 60_000)

    assert receiver.sensitive_share() == pytest.approx(
        reporter.sensitive_share(), abs=0.01
    )


def test_initial_demand_stays_until_first_request():
    """Guards against prompts that are prefilled twice at the start of a day.

    Instances start 16 seconds before their callers and report their demand ten times
    per second.  The initial demand, by which engines are partitioned before the first
    request, had decayed by then; the first prompts got homes that they lost when the
    engines were partitioned.
    """
    demand, other = PartitionDemand(), PartitionDemand()
    initial_share = demand.sensitive_share()
    for now_ms in range(0, 16_000, STEP_MS):
        other.record_reported(demand.advertised(now_ms), now_ms)
        demand.record_reported(other.advertised(now_ms), now_ms)

    assert demand.sensitive_share() == pytest.approx(initial_share, abs=0.01)
    assert demand.advertised(16_000) == PartitionDemand().advertised(0)
