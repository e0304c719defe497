"""The result row of a benchmark."""

from __future__ import annotations

from typing import NamedTuple


class BenchRow(NamedTuple):
    """A measured value and its baseline; ``ratio`` is value over baseline."""

    name: str
    value: float
    unit: str
    baseline_value: float
    ratio: float


def make_row(name: str, value: float, unit: str, baseline: float) -> BenchRow:
    """Return a row with its ratio, which is 0 without a baseline.

    :param name: what was measured.
    :param value: the measured value.
    :param unit: the unit of the value.
    :param baseline: the same value of the simplest method.
    """
    ratio = value / baseline if baseline else 0.0
    return BenchRow(name, value, unit, baseline, ratio)
