"""Cost and quality of routing decisions, and attempts per request in an outage."""

from __future__ import annotations

import random
import statistics
import time
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row
from benches.retry_rig import run_outage
from benches.routing_rig import RoutingScenario, RoutingSimulation
from savorychute.routing import ROUTERS, EndpointTable, RoutingRequest, RoutingSettings

if TYPE_CHECKING:
    from savorychute.routing import Router

CANDIDATES = 16
DECISIONS = 1_000
HASHES = 64
NS_PER_US = 1_000
SCENARIOS = (
    RoutingScenario('steady', 60),
    RoutingScenario('60 instances, straggler', 60, instances=60, straggler=5.0),
    RoutingScenario('unlike engines', 50, small_engines=4),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Return the figures of the predicting router and those of simple routers.

    :param repeats: number of seeds and of rounds of decisions.
    :param rng: generates the seeds.
    """
    rows = [_measure_decision(repeats, rng)]
    seeds = [rng.getrandbits(32) for _ in range(repeats)]
    rows += [_measure_scenario(scenario, seeds) for scenario in SCENARIOS]
    bounded = run_outage(8, 3, True, True, random.Random(seeds[0]))
    naive = run_outage(8, 3, False, False, random.Random(seeds[0]))
    rows.append(
        make_row(
            'attempts per request, 8 of 9 endpoints gone for 10 of 30 s',
            bounded.attempts_per_request,
            'attempts',
            naive.attempts_per_request,
        )
    )
    return rows


def _measure_scenario(scenario: RoutingScenario, seeds: list[int]) -> BenchRow:
    shares = {}
    for name in ('predicted', 'least-outstanding'):
        figures = [
            RoutingSimulation(scenario, name, RoutingSettings(), seed).run()
            for seed in seeds
        ]
        shares[name] = statistics.mean(result.in_time_share for result in figures)
    return make_row(
        f'first token within 250 ms: {scenario.name}',
        shares['predicted'],
        'share',
        shares['least-outstanding'],
    )


def _measure_decision(repeats: int, rng: random.Random) -> BenchRow:
    medians = {
        name: _time_decisions(name, repeats, rng)
        for name in ('predicted', 'round-robin')
    }
    return make_row(
        f'decision among {CANDIDATES} candidates, median',
        medians['predicted'],
        'us',
        medians['round-robin'],
    )


def _time_decisions(name: str, repeats: int, rng: random.Random) -> float:
    table, candidates = _make_table(rng)
    router: Router = ROUTERS.get(name)(RoutingSettings(), table, rng)
    samples = []
    for number in range(repeats * DECISIONS):
        first = number % CANDIDATES
        request = RoutingRequest(
            str(number), 'model', 5_000, 100, tuple(range(first, first + HASHES))
        )
        start_ns = time.perf_counter_ns()
        router.choose(request, candidates, number)
        samples.append((time.perf_counter_ns() - start_ns) / NS_PER_US)
    return statistics.median(samples)


def _make_table(rng: random.Random) -> tuple[EndpointTable, tuple[str, ...]]:
    table = EndpointTable(RoutingSettings(), rng, 'domain-0', 'region')
    names = tuple(f'endpoint-{number}' for number in range(CANDIDATES))
    table.set_endpoints(
        {
            name: {
                'endpoint': name,
                'dialect': 'openai',
                'host': '',
                'port': 0,
                'region': 'region',
                'failure_domain': f'domain-{number % 3}',
                'state': 'active',
                'concurrent_requests': 8,
                'models': ['model'],
            }
            for number, name in enumerate(names)
        }
    )
    for number in range(3 * CANDIDATES):
        hashes = tuple(range(number, number + HASHES))
        table.record_start(
            str(number), names[number % CANDIDATES], 5_000, 100, hashes, 0
        )
    return table, names
