"""Tests of the routers."""

from __future__ import annotations

import random

import pytest

from savorychute.routing import ROUTERS, RoutingRequest, RoutingSettings

REQUEST = RoutingRequest('r1', 'pump-diagnosis', 200, 50)


@pytest.fixture
def make_router():
    def make(name, table):
        return ROUTERS.get(name)(RoutingSettings(), table, random.Random(3))

    return make


@pytest.mark.parametrize('name', list(ROUTERS))
def test_no_candidate_gives_no_choice(name, make_router, make_table):
    assert make_router(name, make_table()).choose(REQUEST, (), 0) is None


@pytest.mark.parametrize('name', list(ROUTERS))
def test_choice_is_a_candidate(name, make_router, make_table):
    router = make_router(name, make_table(('e1', 'e2', 'e3')))
    for _ in range(20):
        assert router.choose(REQUEST, ('e2', 'e3'), 0).endpoint in ('e2', 'e3')


def test_round_robin_takes_turns(make_router, make_table):
    router = make_router('round-robin', make_table())
    chosen = [router.choose(REQUEST, ('e1', 'e2'), 0).endpoint for _ in range(4)]
    assert sorted(chosen[:2]) == ['e1', 'e2']
    assert chosen[:2] == chosen[2:]


def test_least_outstanding_counts_own_requests(make_router, make_table):
    table = make_table()
    table.record_start('a1', 'e1', 100, 50, (), 0)
    choice = make_router('least-outstanding', table).choose(REQUEST, ('e1', 'e2'), 0)
    assert choice.endpoint == 'e2'


def test_cached_prefix_attracts_a_request(make_router, make_table):
    table = make_table(prefix_block_tokens=2_000)
    table.record_start('a1', 'e1', 8_000, 50, (1, 2, 3, 4), 0)
    table.record_progress('a1', 1, 50)
    request = REQUEST._replace(prompt_tokens=8_000, prefix_hashes=(1, 2, 3, 4))

    choice = make_router('predicted', table).choose(request, ('e1', 'e2'), 51)

    assert choice.endpoint == 'e1'


def test_free_endpoint_is_preferred_to_a_full_one(make_router, make_table, make_report):
    table = make_table()
    table.apply_report(make_report('e1', running=4, waiting=6), 0)
    table.apply_report(make_report('e2', running=2), 0)

    choice = make_router('predicted', table).choose(REQUEST, ('e1', 'e2'), 0)

    assert choice.endpoint == 'e2'


def test_idle_straggler_is_not_chosen(make_router, make_table, make_report):
    table = make_table(('e1', 'e2', 'e3'))
    table.apply_report(make_report('e1', step_ms=25.0), 0)
    table.apply_report(make_report('e2', running=2), 0)
    table.apply_report(make_report('e3', running=2), 0)

    router = make_router('predicted', table)

    for _ in range(20):
        assert router.choose(REQUEST, ('e1', 'e2', 'e3'), 0).endpoint != 'e1'
