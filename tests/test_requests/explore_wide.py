"""Explores the larger scenarios and prints the number of states of each."""

from __future__ import annotations

from key_explorer import explore
from key_simulation import KeySimulation
from test_key_explorer import WIDE_SCENARIOS

if __name__ == '__main__':
    for instances, budget in WIDE_SCENARIOS:
        print(instances, budget, explore(KeySimulation(budget, instances)), flush=True)
