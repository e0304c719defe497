"""Which cells the matrix has."""

from __future__ import annotations

from itertools import combinations
from random import Random

from savorychute.testing.matrix.cell import KINDS, Cell, list_steps
from savorychute.testing.matrix.cell_faults import CELL_FAULTS

PAIR_SEED = 7


def list_singles(seed: int = 1) -> list[Cell]:
    """Return every fault at every step of every kind of work."""
    return [
        Cell((fault,), step, kind, seed)
        for fault in CELL_FAULTS
        for kind in KINDS
        for step in list_steps(kind)
    ]


def sample_pairs(count: int, seed: int = PAIR_SEED) -> list[Cell]:
    """Return pairs of faults at random steps; every pair once before any twice.

    :param count: how many cells.
    :param seed: of the choice, and of the runs.
    """
    rng = Random(seed)
    pairs: list[tuple[str, str]] = []
    while len(pairs) < count:
        batch = list(combinations(CELL_FAULTS, 2))
        rng.shuffle(batch)
        pairs += batch
    cells = []
    for pair in pairs[:count]:
        faults = pair if rng.random() < 0.5 else (pair[1], pair[0])
        kind = rng.choice(KINDS)
        cells.append(Cell(faults, rng.choice(list_steps(kind)), kind, seed))
    return cells


def sample_singles(seed: int = 1) -> list[Cell]:
    """Return few cells in which every fault and every step of each kind comes.

    Faults and steps are shuffled and dealt to each other; the longer list is used up.

    :param seed: of the choice, and of the runs.
    """
    rng = Random(seed)
    places = [(kind, step) for kind in KINDS for step in list_steps(kind)]
    faults = list(CELL_FAULTS)
    rng.shuffle(places)
    rng.shuffle(faults)
    return [
        Cell(
            (faults[number % len(faults)],),
            places[number % len(places)][1],
            places[number % len(places)][0],
            seed,
        )
        for number in range(max(len(places), len(faults)))
    ]
