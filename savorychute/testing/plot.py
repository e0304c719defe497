"""Plots of load runs, with the extra ``plot``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from savorychute.testing.measures import RunFigures


class MissingExtraError(SavorychuteError):
    """The library for plots is not installed."""

    code = ResultCode.UNKNOWN_VARIANT


def plot_attainment(runs: Sequence[RunFigures], path: Path) -> None:
    """Write a picture of the attainment by class, one group for each policy.

    :param path: its suffix decides the format.
    :raises MissingExtraError: without the extra ``plot``.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise MissingExtraError('install the extra "plot" first') from error
    figure = Figure(figsize=(10, 4), layout='constrained')
    axes = figure.subplots()
    names = [each.name for each in runs[0].classes]
    width = 0.8 / len(runs)
    for number, run in enumerate(runs):
        places = [place + number * width for place in range(len(names))]
        heights = [each.attainment for each in run.classes]
        axes.bar(places, heights, width, label=f'{run.policy}, seed {run.seed}')
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel('attainment')
    axes.set_title(f'{runs[0].scenario}, {runs[0].system}')
    axes.legend()
    figure.savefig(path)
