"""Tests of the ranks of requests."""

from __future__ import annotations

from itertools import product

import pytest

from savorychute.gateway.requests.rank import LEAST_URGENT_RANK, rank_request


def test_route_tier_comes_first_and_organisation_tier_decides_between_equals():
    """Guards against preempting diagnoses while less urgent summaries keep running.

    64 streams filled an engine, among them two summaries of an organisation of the first
    tier.  When more urgent diagnoses arrived, the engine preempted 13 diagnoses of other
    organisations one after another, because the summaries had lower rank numbers.
    """
    pairs = list(product((0, 1, 2), (0, 1, 2)))

    ranks = [rank_request(organisation, route) for route, organisation in pairs]

    assert ranks == sorted(set(ranks))
    assert max(ranks) <= LEAST_URGENT_RANK


@pytest.mark.parametrize('summary_of', [0, 1, 2, None])
@pytest.mark.parametrize('diagnosis_of', [0, 1, 2, 7, None])
def test_no_diagnosis_ranks_below_a_summary(diagnosis_of, summary_of):
    """Guards against the same preemption, for any combination of organisation tiers."""
    assert rank_request(diagnosis_of, 0) < rank_request(summary_of, 2)


def test_route_tier_decides_without_an_organisation_tier():
    ranks = [rank_request(None, tier) for tier in (0, 1, 2)]

    assert ranks == sorted(set(ranks))


def test_rank_stays_within_the_range_that_engines_accept():
    assert rank_request(7, 9) == LEAST_URGENT_RANK
    assert rank_request(0, -1) == 0
