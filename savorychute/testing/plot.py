"""Plots of load runs and fleets, which need the extra ``plot``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import SavorychuteError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path

    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

    from savorychute.gateway.duties.server_fleet import ServerFleet
    from savorychute.testing.measures import RunFigures


class MissingExtraError(SavorychuteError):
    """The library for plots is not installed."""

    code = ResultCode.UNKNOWN_VARIANT


def plot_attainment(runs: Sequence[RunFigures], path: Path) -> None:
    """Plot the attainment by class, one group of bars for each policy.

    :param path: the output file; its suffix decides the format.
    :raises MissingExtraError: without the extra ``plot``.
    """
    axes, figure = _make_axes()
    names = [each.name for each in runs[0].classes]
    width = 0.8 / len(runs)
    for number, run in enumerate(runs):
        positions = [position + number * width for position in range(len(names))]
        heights = [each.attainment for each in run.classes]
        axes.bar(positions, heights, width, label=f'{run.policy}, seed {run.seed}')
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel('attainment')
    axes.set_title(f'{runs[0].scenario}, {runs[0].system}')
    axes.legend()
    figure.savefig(path)


def plot_fleets(fleets: Mapping[str, ServerFleet], path: Path) -> None:
    """Plot endpoints by failure domain and kind, one group of bars for each policy.

    :param fleets: the fleet that each policy computes.
    :param path: the output file; its suffix decides the format.
    :raises MissingExtraError: without the extra ``plot``.
    """
    axes, figure = _make_axes()
    width = 0.8 / len(fleets)
    for number, (policy, fleet) in enumerate(fleets.items()):
        positions = [
            position + number * width for position in range(len(fleet.domains))
        ]
        lasting = [each.lasting for _, each in fleet.domains]
        reclaimable = [each.reclaimable for _, each in fleet.domains]
        axes.bar(positions, lasting, width, label=f'{policy}, lasting')
        axes.bar(
            positions,
            reclaimable,
            width,
            lasting,
            label=f'{policy}, reclaimable',
            alpha=0.5,
        )
    names = [domain for domain, _ in next(iter(fleets.values())).domains]
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel('endpoints')
    axes.legend()
    figure.savefig(path)


def _make_axes() -> tuple[Axes, Figure]:
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise MissingExtraError('install the extra "plot" first') from error
    figure = Figure(figsize=(10, 4), layout='constrained')
    return figure.subplots(), figure
