"""Explores the larger scenes and prints how many states each has."""

from __future__ import annotations

from key_explorer import explore
from key_world import KeyWorld
from test_key_explorer import WIDE_SCENES

if __name__ == '__main__':
    for instances, budget in WIDE_SCENES:
        print(instances, budget, explore(KeyWorld(budget, instances)), flush=True)
