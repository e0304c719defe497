"""Cost and quality of routing, and attempts per request in an outage."""

from __future__ import annotations

import random
import statistics
import time
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row
from benches.retry_rig import run_outage
from benches.routing_rig import RigPlan, RoutingRig
from savorychute.routing import ROUTERS, EndpointTable, RoutingRequest, RoutingSettings

if TYPE_CHECKING:
    from savorychute.routing import Router

CANDIDATES = 16
DECISIONS = 1_000
HASHES = 64
NS_PER_US = 1_000
PLANS = (
    RigPlan('steady', 60),
    RigPlan('60 instances, straggler', 60, instances=60, straggler=5.0),
    RigPlan('unlike engines', 50, small_engines=4),
)


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Return the figures of routing beside those of the simplest router.

    :param repeats: how many seeds, and how many rounds of decisions.
    :param rng: gives the seeds.
    """
    rows = [_measure_decision(repeats, rng)]
    seeds = [rng.getrandbits(32) for _ in range(repeats)]
    rows += [_measure_plan(plan, seeds) for plan in PLANS]
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


def _measure_plan(plan: RigPlan, seeds: list[int]) -> BenchRow:
    shares = {}
    for name in ('predicted', 'least-outstanding'):
        figures = [RoutingRig(plan, name, RoutingSettings(), s).run() for s in seeds]
        shares[name] = statistics.mean(item.in_time_share for item in figures)
    return make_row(
        f'first token within 250 ms: {plan.name}',
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
    book, candidates = _make_book(rng)
    router: Router = ROUTERS.get(name)(RoutingSettings(), book, rng)
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


def _make_book(rng: random.Random) -> tuple[EndpointTable, tuple[str, ...]]:
    book = EndpointTable(RoutingSettings(), rng, 'domain-0', 'region')
    names = tuple(f'endpoint-{number}' for number in range(CANDIDATES))
    book.set_endpoints(
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
        book.record_start(
            str(number), names[number % CANDIDATES], 5_000, 100, hashes, 0
        )
    return book, names
