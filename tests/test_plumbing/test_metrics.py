"""Metrics are rendered for Prometheus, and their number is limited."""

from __future__ import annotations

import pytest

from savorychute.metric_table import BUCKETS_MS, METRICS
from savorychute.metrics import MAX_SERIES, Metrics
from savorychute.ran import Ran
from savorychute.result_code import ResultCode
from savorychute.util.label_limiter import MAX_LABEL_VALUES


@pytest.fixture
def metrics():
    return Metrics('a-1')


@pytest.fixture
def samples(metrics):
    """Return a function that returns the value of each rendered series."""

    def read() -> dict[str, float]:
        text = metrics.render()[0].decode()
        rows = [line.rsplit(' ', 1) for line in text.splitlines() if line[0] != '#']
        return {name: float(value) for name, value in rows}

    return read


def test_finished_request_is_counted_once_in_each_metric(metrics, samples):
    metrics.finish_request('malanadu', 'diagnosis', ResultCode.OK, Ran.RAN, True, 2.5)
    labels = 'class="diagnosis"'
    assert samples() == {
        f'savorychute_requests_total{{{labels},code="0",instance="a-1",'
        'organisation="malanadu",ran="ran"}': 1,
        f'savorychute_targets_total{{{labels},instance="a-1",met="true",'
        'organisation="malanadu"}': 1,
        f'savorychute_goodput_total{{{labels},instance="a-1",organisation="malanadu"}}': 2.5,
    }


def test_refusal_without_a_target_does_not_count_a_target(metrics, samples):
    metrics.finish_request('a', 'b', ResultCode.OVERLOADED, Ran.NOT_RUN)
    [only] = samples()
    assert 'code="2001"' in only


def test_histogram_is_cumulative(metrics, samples):
    for value in (1, 1.5, 60, 99_999):
        metrics.observe('token_gap_ms', value, tier=1)
    for _ in range(2):
        series = samples()
        base = 'savorychute_token_gap_ms'
        labels = 'instance="a-1",tier="1"'
        assert series[f'{base}_count{{{labels}}}'] == 4
        assert series[f'{base}_sum{{{labels}}}'] == 1 + 1.5 + 60 + 99_999
        cumulative = {
            bound: series[f'{base}_bucket{{instance="a-1",le="{bound}",tier="1"}}']
            for bound in ('1.0', '2.0', '52.0', '75.0', '10000.0', '+Inf')
        }
        assert list(cumulative.values()) == [1, 2, 2, 3, 3, 4]


def test_arbitrary_names_do_not_increase_memory_without_limit(metrics, samples):
    """An organisation sends a new class name with every request.

    Without a limit each name would add a series that is kept until a restart, and
    the instance would run out of memory.
    """
    for number in range(5_000):
        metrics.finish_request('a', f'c-{number}', ResultCode.OVERLOADED, Ran.NOT_RUN)
    series = samples()
    assert len(series) == MAX_LABEL_VALUES + 1
    assert sum(series.values()) == 5_000


def test_combinations_are_limited_too(metrics, samples):
    for organisation in range(60):
        for name in range(60):
            metrics.count(
                'goodput_total', organisation=f'c{organisation}', class_name=f'{name}'
            )
    series = samples()
    assert len(series) == MAX_SERIES + 1
    assert sum(series.values()) == 3_600


def test_every_metric_is_described(metrics):
    text = metrics.render()[0].decode()
    for row in METRICS:
        assert f'# HELP savorychute_{row.name} {row.doc}' in text
        assert row.kind != 'histogram' or row.labels == ('tier',)
    assert list(BUCKETS_MS) == sorted(BUCKETS_MS)
