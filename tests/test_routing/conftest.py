"""Fixtures of the routing tests."""

from __future__ import annotations

import random

import pytest

from savorychute.inputs import LoadReported
from savorychute.routing import EndpointTable, RoutingSettings


@pytest.fixture
def make_document():
    def make(name, **changes):
        document = {
            'endpoint': name,
            'dialect': 'openai',
            'host': '127.0.0.1',
            'port': 9000,
            'region': 'kerala',
            'failure_domain': 'kochi-hall',
            'state': 'active',
            'concurrent_requests': 4,
            'models': ['pump-diagnosis'],
        }
        document.update(changes)
        return document

    return make


@pytest.fixture
def make_table(make_document):
    def make(names=('e1', 'e2'), **settings):
        table = EndpointTable(
            RoutingSettings(**settings), random.Random(7), 'kochi-hall', 'kerala'
        )
        table.set_endpoints({name: make_document(name) for name in names})
        return table

    return make


@pytest.fixture
def make_report():
    def make(name, **changes):
        report = LoadReported(
            endpoint=name,
            age_ms=0,
            running=0,
            waiting=0,
            kv_free_share=1.0,
            step_ms=5.0,
            models=('pump-diagnosis',),
            state='active',
            cache_sequence=0,
            cached=(),
            evicted=(),
            cache_gap=False,
        )
        return report._replace(**changes)

    return make
