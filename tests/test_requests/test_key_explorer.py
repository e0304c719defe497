"""Tests of all orders of events around one issued key.

In each scenario the caller sends its request with the key to the issuer and then to
another instance, which may consider the issuer failed, rightly or wrongly.  The
endpoints run the request, run it and lose the response, or prove a refusal.
"""

from __future__ import annotations

import pytest
from key_explorer import explore
from key_simulation import Budget, KeySimulation

SCENARIOS = [
    ('ab', Budget(crashes=1, jumps=1)),
    ('ab', Budget(pauses=1)),
    ('ab', Budget(losses=1, jumps=1)),
    ('ab', Budget(repeats=1)),
    ('ab', Budget(refusals=1)),
    ('ab', Budget(crashes=1, restarts=1)),
    ('abc', Budget(jumps=1)),
    ('abc', Budget(crashes=1)),
    ('abc', Budget(pauses=1)),
    ('abc', Budget(losses=1)),
    ('abc', Budget(suspicions=1)),
]

WIDE_SCENARIOS = [
    ('ab', Budget(crashes=1, losses=1, jumps=1)),
    ('ab', Budget(pauses=1, losses=1)),
    ('ab', Budget(crashes=1, restarts=1, jumps=1)),
    ('ab', Budget(crashes=1, refusals=1, submissions=2)),
    ('abc', Budget(crashes=1, jumps=2)),
    ('abc', Budget(suspicions=1, submissions=2)),
    ('abc', Budget(pauses=1, losses=1)),
]
"""Scenarios too large for the regular tests; run them with ``explore_wide.py``."""


@pytest.mark.parametrize('instances, budget', SCENARIOS)
def test_invariants_hold_in_all_orders_of_events(instances, budget):
    exploration = explore(KeySimulation(budget, instances))
    # Fewer states would mean that the scenario does not exercise the key.
    assert exploration.states > 100
    assert exploration.end_states > 0
