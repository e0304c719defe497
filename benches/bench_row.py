"""One measured figure."""

from __future__ import annotations

from typing import NamedTuple


class BenchRow(NamedTuple):
    """A figure beside its baseline; ``ratio`` is value over baseline."""

    name: str
    value: float
    unit: str
    baseline_value: float
    ratio: float


def make_row(name: str, value: float, unit: str, baseline: float) -> BenchRow:
    """Return a row with its ratio, 0 without a baseline.

    :param name: what was measured.
    :param value: the figure.
    :param unit: the figure's unit.
    :param baseline: the same figure of the simplest way.
    """
    ratio = value / baseline if baseline else 0.0
    return BenchRow(name, value, unit, baseline, ratio)
