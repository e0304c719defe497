"""Cost of a log line and of a metric observation."""

from __future__ import annotations

import io
import statistics
import time
from typing import TYPE_CHECKING

import msgspec
from aioprometheus import Histogram, Registry

from benches.bench_row import BenchRow, make_row
from savorychute.logs import InstanceLog, LogLevel, open_log
from savorychute.metric_table import BUCKETS_MS
from savorychute.metrics import Metrics

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

CALLS = 2_000
NS_PER_US = 1_000
TIER = 1


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure both and compare them with the simplest equivalents.

    :param repeats: number of measurements, of which the median is returned.
    :param rng: generates the values.
    """
    values = [rng.uniform(1, 100) for _ in range(CALLS)]
    return [_measure_histogram(values, repeats), *_measure_log(repeats)]


def _measure_histogram(values: list[float], repeats: int) -> BenchRow:
    metrics = Metrics('a-1')
    library = Histogram(
        'gap', 'Gaps.', registry=Registry(), buckets=[*BUCKETS_MS, float('inf')]
    )
    labels = {'tier': str(TIER)}

    def observe() -> None:
        for value in values:
            metrics.observe('token_gap_ms', value, TIER)

    def observe_by_library() -> None:
        for value in values:
            library.observe(labels, value)

    observe_us = _median_us(observe, repeats)
    library_us = _median_us(observe_by_library, repeats)
    return make_row('metrics observe', observe_us, 'us', library_us)


def _measure_log(repeats: int) -> list[BenchRow]:
    file = io.BytesIO()
    log = InstanceLog('a-1', LogLevel.INFO)
    entry = {
        'level': 'info',
        'organisation': 'malanadu',
        'tier': TIER,
        'request_id': 'q-1',
    }

    def write() -> None:
        for _ in range(CALLS):
            log.info('request-finished', 'q-1', organisation='malanadu', tier=TIER)
        file.seek(0)

    def skip() -> None:
        for _ in range(CALLS):
            log.debug('request-finished', 'q-1', organisation='malanadu', tier=TIER)

    def encode() -> None:
        for _ in range(CALLS):
            msgspec.json.encode(entry)

    with open_log(file):
        baseline_us = _median_us(encode, repeats)
        return [
            make_row('log line', _median_us(write, repeats), 'us', baseline_us),
            make_row(
                'log line below level', _median_us(skip, repeats), 'us', baseline_us
            ),
        ]


def _median_us(call: Callable[[], None], repeats: int) -> float:
    """Return the median time of one of :data:`CALLS` calls, in microseconds."""
    mean_times_us = []
    for _ in range(repeats):
        start_ns = time.perf_counter_ns()
        call()
        mean_times_us.append((time.perf_counter_ns() - start_ns) / CALLS / NS_PER_US)
    return statistics.median(mean_times_us)
