"""Tests of the division of capacity."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from savorychute.credits.division import (
    divide_by_tier,
    divide_equally,
    spread_over_endpoints,
)

demands_by_instance = st.dictionaries(
    st.sampled_from('abcdefgh'),
    st.lists(st.integers(0, 40), min_size=1, max_size=5),
    min_size=1,
)


def test_equal_division_meets_small_demands_in_full():
    assert divide_equally(10, {'a': 2, 'b': 20, 'c': 20}) == {'a': 2, 'b': 4, 'c': 4}


def test_higher_tier_is_met_before_lower():
    division = divide_by_tier(10, {'a': [6, 4], 'b': [3, 9]}, 0, ())

    assert division.parts['a'] + division.parts['b'] == 10
    assert division.parts['a'] >= 6
    assert division.parts['b'] >= 3
    assert division.pressing_tier == 1


def test_reserve_serves_an_instance_that_would_get_nothing():
    division = divide_by_tier(10, {'a': [50], 'b': [0, 0, 5]}, 1, ('a', 'b'))

    assert division.parts == {'a': 9, 'b': 1}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(demands_by_instance, st.integers(0, 100), st.integers(0, 5))
def test_division_uses_all_capacity_and_never_exceeds_demand(
    demands, capacity, reserve
):
    division = divide_by_tier(capacity, demands, reserve, sorted(demands))

    total = sum(map(sum, demands.values()))
    assert sum(division.parts.values()) == min(capacity, total)
    assert all(division.parts[name] <= sum(demands[name]) for name in demands)
    assert (division.pressing_tier >= 0) == (total > capacity)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.integers(0, 12), min_size=1, max_size=16),
    st.lists(st.floats(0.0, 1.0), min_size=1, max_size=8),
)
def test_levels_stay_within_endpoints_and_add_up(capacities, shares):
    """Rounding errors must be carried from one endpoint to the next.

    Otherwise an endpoint would be granted more than it can run, or an instance would
    receive less than its part.
    """
    total = sum(capacities)
    weight = sum(shares) or 1.0
    parts = {str(n): int(total * s / weight) for n, s in enumerate(shares)}
    by_endpoint = dict(enumerate(capacities))
    if total == 0:
        return

    levels = spread_over_endpoints(parts, by_endpoint)

    for endpoint, capacity in by_endpoint.items():
        assert sum(given[endpoint] for given in levels.values()) <= capacity
    for instance, part in parts.items():
        assert part - 2 <= sum(levels[instance].values()) <= part + 2
