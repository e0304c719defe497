"""Selection of the cells of the matrix."""

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
    """Return pairs of faults at random steps; no pair repeats before all were used.

    :param count: the number of cells.
    :param seed: the seed of the selection and of the simulations.
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
    """Return a small sample that covers every fault and every step of each kind.

    Faults and steps are shuffled and paired; the shorter list is repeated.

    :param seed: the seed of the selection and of the simulations.
    """
    rng = Random(seed)
    positions = [(kind, step) for kind in KINDS for step in list_steps(kind)]
    faults = list(CELL_FAULTS)
    rng.shuffle(positions)
    rng.shuffle(faults)
    return [
        Cell(
            (faults[number % len(faults)],),
            positions[number % len(positions)][1],
            positions[number % len(positions)][0],
            seed,
        )
        for number in range(max(len(positions), len(faults)))
    ]
