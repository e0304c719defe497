"""Tests of the order of requests."""

from __future__ import annotations

from itertools import product

from savorychute.gateway.requests.rank import LEAST_URGENT, rank_request


def test_organisation_goes_first_and_the_route_decides_among_equals():
    """A diagnosis that was put back for a summary.

    Both came from organisations of one tier.  The engine ran out of memory and put back
    the newest of the least urgent; told the same rank for both, it chose the diagnosis.
    """
    pairs = list(product((0, 1, 2), (0, 1, 2)))

    ranks = [rank_request(*pair) for pair in pairs]

    assert ranks == sorted(set(ranks))
    assert max(ranks) <= LEAST_URGENT


def test_without_a_tier_of_its_own_the_route_decides():
    ranks = [rank_request(None, tier) for tier in (0, 1, 2)]

    assert ranks == sorted(set(ranks))


def test_rank_stays_within_what_engines_know():
    assert rank_request(7, 9) == LEAST_URGENT
    assert rank_request(0, -1) == 0
