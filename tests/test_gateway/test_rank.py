"""Tests of the order of requests."""

from __future__ import annotations

from itertools import product

import pytest

from savorychute.gateway.requests.rank import LEAST_URGENT, rank_request


def test_route_goes_first_and_the_organisation_decides_among_equals():
    """A diagnosis that was put back while a summary ran on.

    64 streams filled an engine, among them two summaries of an organisation of the first
    tier.  More urgent diagnoses came, and the engine made room by putting back 13
    diagnoses of other organisations, one after the other; the summaries had a lower rank
    number than any of these, and ran on.
    """
    pairs = list(product((0, 1, 2), (0, 1, 2)))

    ranks = [rank_request(organisation, route) for route, organisation in pairs]

    assert ranks == sorted(set(ranks))
    assert max(ranks) <= LEAST_URGENT


@pytest.mark.parametrize('summary_of', [0, 1, 2, None])
@pytest.mark.parametrize('diagnosis_of', [0, 1, 2, 7, None])
def test_no_diagnosis_ranks_below_a_summary(diagnosis_of, summary_of):
    """The same, whichever organisations they come from."""
    assert rank_request(diagnosis_of, 0) < rank_request(summary_of, 2)


def test_without_a_tier_of_its_own_the_route_decides():
    ranks = [rank_request(None, tier) for tier in (0, 1, 2)]

    assert ranks == sorted(set(ranks))


def test_rank_stays_within_what_engines_know():
    assert rank_request(7, 9) == LEAST_URGENT
    assert rank_request(0, -1) == 0
