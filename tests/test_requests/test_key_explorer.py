"""All orders of events around one issued key.

In each scene the caller sends its request, with the one key, to the issuer and
again to another instance, which may take the issuer for dead, rightly or not.
The endpoints may run it, run it and lose the answer, or prove a refusal.
"""

from __future__ import annotations

import pytest
from key_explorer import explore
from key_world import Budget, KeyWorld

SCENES = [
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

WIDE_SCENES = [
    ('ab', Budget(crashes=1, losses=1, jumps=1)),
    ('ab', Budget(pauses=1, losses=1)),
    ('ab', Budget(crashes=1, restarts=1, jumps=1)),
    ('ab', Budget(crashes=1, refusals=1, submissions=2)),
    ('abc', Budget(crashes=1, jumps=2)),
    ('abc', Budget(suspicions=1, submissions=2)),
    ('abc', Budget(pauses=1, losses=1)),
]
"""Scenes too large for every run; ``python explore_wide.py`` tries them."""


@pytest.mark.parametrize('instances, budget', SCENES)
def test_no_order_of_events_breaks_a_promise(instances, budget):
    exploration = explore(KeyWorld(budget, instances))
    # Fewer would mean that the scene itself has come to nothing.
    assert exploration.states > 100
    assert exploration.ends > 0
