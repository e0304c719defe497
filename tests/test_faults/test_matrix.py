"""Tests of the fault matrix: every fault at every step of every kind of work."""

from __future__ import annotations

import pytest

from savorychute.cmd.main import main
from savorychute.testing.matrix.cell import KINDS, Cell, list_steps, run_cell
from savorychute.testing.matrix.cell_faults import CELL_FAULTS
from savorychute.testing.matrix.plan import (
    list_singles,
    sample_pairs,
    sample_singles,
)

PAIRS = 60
PAIRS_PER_TEST = 10


def list_violations(cells):
    """Return the violations of each failed cell."""
    results = [run_cell(cell) for cell in cells]
    return {result.cell.name: result.breaches for result in results if result.breaches}


@pytest.mark.parametrize('fault', list(CELL_FAULTS))
def test_invariants_hold_under_one_fault_at_every_step(fault):
    cells = [cell for cell in list_singles() if cell.faults == (fault,)]
    assert len(cells) == sum(len(list_steps(kind)) for kind in KINDS)
    assert list_violations(cells) == {}


@pytest.mark.parametrize('start', range(0, PAIRS, PAIRS_PER_TEST))
def test_invariants_hold_under_two_faults_together(start):
    cells = sample_pairs(PAIRS)[start : start + PAIRS_PER_TEST]
    assert list_violations(cells) == {}


@pytest.mark.parametrize('kind', KINDS)
def test_every_step_is_reached(kind):
    cells = [Cell(('reports-lag',), step, kind) for step in list_steps(kind)]
    assert all(run_cell(cell).fired for cell in cells)


def test_sample_of_pairs_has_no_pair_twice():
    pairs = [frozenset(cell.faults) for cell in sample_pairs(PAIRS)]
    assert len(set(pairs)) == PAIRS


def test_command_line_prints_the_results_of_cells(capsys):
    arguments = ['faults', '--fault', 'log-slow', '--kind', 'amendment', '--json']
    assert main(arguments) == 0
    assert '"cells": 5, "reached": 5, "broken": 0' in capsys.readouterr().out


def test_quick_sample_has_every_fault_and_every_step():
    all_cells = list_singles()
    sample = sample_singles(3)

    assert {cell.faults for cell in sample} == {cell.faults for cell in all_cells}
    assert {(cell.kind, cell.step) for cell in sample} == {
        (cell.kind, cell.step) for cell in all_cells
    }
    assert len(sample) < len(all_cells) / 10
    assert sample == sample_singles(3)
