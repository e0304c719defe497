"""Comparison of the engines of a service, from observations in cells."""

from __future__ import annotations

from collections import Counter
from math import log2
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.engines.speed_cell import ANY_STATE_CELL, is_generation
from savorychute.gateway.engines.weighted_median import weighted_median

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.engines.cell_sums import CellSums

    # A cell, the logarithm to base 2 of the time of a unit in it, and its weight.
    _Mean = tuple[int, float, float]

# Slow engines can be alone in the cells of full engines; each pass corrects the level of
# such a cell by the speeds that other cells show.  Passes end when no level moves more.
MAX_PASSES = 12
LEVEL_TOLERANCE = 0.01
# A cell deviates by at most this factor, as a logarithm to base 2, so that one reporting
# instance with false values is bounded by its weight.
MAX_DEVIATION = 2.5
# Evidence of an engine counts against this many observations of median speed.
PRIOR_WEIGHT = 1.0
# Recent observations count against this many of the lasting ones.
LASTING_WEIGHT = 8.0
LASTING_WEIGHT_IN_ANY_STATE = 2.0
# Deviations in any state are ignored up to the first value and count in full from the
# second one.  The load of equal engines, at 0.8 to 1.6 of their capacity, made them
# deviate by 0.14 to 0.41; an engine slowed by a factor of five deviated by 2.4 or more.
MAX_LOAD_DEVIATION = 0.7
CERTAIN_DEVIATION = 1.0
# Comparable observations that go before those in any state.
MIN_COMPARABLE_WEIGHT = 3.0
# Gaps are more frequent than prefills and must not outvote them completely.
MAX_PART_WEIGHT = 60.0


class Estimate(NamedTuple):
    """A speed as a logarithm to base 2, and the weight of its evidence."""

    speed: float = 0.0
    weight: float = 0.0


UNKNOWN = Estimate()


class EngineEstimate(NamedTuple):
    """Speeds of one engine: combined, at prefill and at generation."""

    combined: Estimate = UNKNOWN
    prefill: Estimate = UNKNOWN
    generation: Estimate = UNKNOWN


def compare_engines(
    engines: Mapping[EndpointRun, Mapping[int, CellSums]],
) -> dict[EndpointRun, EngineEstimate]:
    """Return the speeds of engines relative to their median.

    :param engines: the observations of each engine by cell.
    """
    prefill = _compare_part(engines, generation=False)
    generation = _compare_part(engines, generation=True)
    slowed = _find_slowed(engines)
    comparable = _centre(
        {
            key: _combine(prefill.get(key, UNKNOWN), generation.get(key, UNKNOWN))
            for key in engines
        }
    )
    combined = {
        key: _prefer(each, slowed.get(key, UNKNOWN)) for key, each in comparable.items()
    }
    return {
        key: EngineEstimate(
            _shrink(combined[key]),
            _shrink(prefill.get(key, UNKNOWN)),
            _shrink(generation.get(key, UNKNOWN)),
        )
        for key in engines
    }


def _compare_part(
    engines: Mapping[EndpointRun, Mapping[int, CellSums]], *, generation: bool
) -> dict[EndpointRun, Estimate]:
    lasting: dict[EndpointRun, list[_Mean]] = {}
    recent: dict[EndpointRun, list[_Mean]] = {}
    for key, cells in engines.items():
        for cell, sums in cells.items():
            if cell == ANY_STATE_CELL or is_generation(cell) is not generation:
                continue
            weight, rate, recent_weight, recent_rate = sums
            lasting.setdefault(key, []).append((cell, -log2(rate), weight))
            if recent_weight > 0.0:
                recent.setdefault(key, []).append(
                    (cell, -log2(recent_rate), recent_weight)
                )
    levels, speeds = _fit(lasting)
    latest = {key: _deviate(means, levels) for key, means in recent.items()}
    blended = {key: _blend(each, latest.get(key)) for key, each in speeds.items()}
    return _centre(blended)


def _blend(
    lasting: Estimate, recent: Estimate | None, max_weight: float = LASTING_WEIGHT
) -> Estimate:
    """Let recent observations prevail while there are enough of them."""
    if recent is None or lasting.weight <= 0.0:
        return lasting
    lasting_weight = min(max_weight, lasting.weight)
    total = lasting_weight + recent.weight
    speed = lasting_weight * lasting.speed + recent.weight * recent.speed
    return Estimate(speed / total, lasting.weight)


def _fit(
    engines: Mapping[EndpointRun, Sequence[_Mean]],
) -> tuple[dict[int, float], dict[EndpointRun, Estimate]]:
    """Return the level of each cell and the speed of each engine."""
    counts = Counter(cell for means in engines.values() for cell, _, _ in means)
    # A cell of one engine compares it with nothing.
    levels = {cell: 0.0 for cell, count in counts.items() if count > 1}
    speeds = dict.fromkeys(engines, UNKNOWN)
    for _ in range(MAX_PASSES):
        known, levels = levels, _find_levels(engines, speeds, levels)
        speeds = {key: _deviate(means, levels) for key, means in engines.items()}
        if all(
            abs(level - known[cell]) < LEVEL_TOLERANCE for cell, level in levels.items()
        ):
            break
    return levels, _centre(speeds)


def _find_levels(
    engines: Mapping[EndpointRun, Sequence[_Mean]],
    speeds: Mapping[EndpointRun, Estimate],
    cells: Iterable[int],
) -> dict[int, float]:
    """Return the mean of each cell, as if all engines had median speed."""
    totals = dict.fromkeys(cells, 0.0)
    weights = dict.fromkeys(totals, 0.0)
    for key, means in engines.items():
        speed = speeds[key].speed
        for cell, mean, weight in means:
            if cell in totals:
                totals[cell] += weight * (mean + speed)
                weights[cell] += weight
    return {cell: total / weights[cell] for cell, total in totals.items()}


def _deviate(means: Iterable[_Mean], levels: Mapping[int, float]) -> Estimate:
    """Return how much faster than the levels of its cells an engine is."""
    total = weight = 0.0
    for cell, mean, each in means:
        level = levels.get(cell)
        if level is not None:
            deviation = level - mean
            if deviation > MAX_DEVIATION:
                deviation = MAX_DEVIATION
            elif deviation < -MAX_DEVIATION:
                deviation = -MAX_DEVIATION
            total += each * deviation
            weight += each
    return Estimate(total / weight, weight) if weight > 0.0 else UNKNOWN


def _centre(speeds: dict[EndpointRun, Estimate]) -> dict[EndpointRun, Estimate]:
    """Return speeds relative to the median engine of which something is known."""
    known = [each.speed for each in speeds.values() if each.weight > 0.0]
    if not known:
        return speeds
    median = weighted_median((speed, 1.0) for speed in known)
    return {
        key: Estimate(each.speed - median, each.weight) if each.weight > 0.0 else each
        for key, each in speeds.items()
    }


def _combine(prefill: Estimate, generation: Estimate) -> Estimate:
    total = weight = 0.0
    for speed, each in (prefill, generation):
        limited = min(each, MAX_PART_WEIGHT)
        total += limited * speed
        weight += limited
    return Estimate(total / weight, weight) if weight > 0.0 else UNKNOWN


def _prefer(comparable: Estimate, slowed: Estimate) -> Estimate:
    """Return the estimate that says more.

    Comparable observations are more exact, but an engine that is busy without a break
    yields none, and the earlier ones do not show what became of it.
    """
    if slowed.weight <= 0.0:
        return comparable
    is_outdated = comparable.speed - slowed.speed > MAX_LOAD_DEVIATION
    if is_outdated or comparable.weight < MIN_COMPARABLE_WEIGHT:
        return slowed
    return comparable


def _find_slowed(
    engines: Mapping[EndpointRun, Mapping[int, CellSums]],
) -> dict[EndpointRun, Estimate]:
    """Return the speeds of the engines that are slower than load explains."""
    observed = {
        key: cells[ANY_STATE_CELL]
        for key, cells in engines.items()
        if ANY_STATE_CELL in cells
    }
    if len(observed) <= 1:
        return {}
    level = weighted_median(
        (-log2(sums.lasting_rate), 1.0) for sums in observed.values()
    )
    levels = {ANY_STATE_CELL: level}
    slowed = {}
    for key, (weight, rate, recent_weight, recent_rate) in observed.items():
        lasting = _deviate([(ANY_STATE_CELL, -log2(rate), weight)], levels)
        recent = [(ANY_STATE_CELL, -log2(recent_rate), recent_weight)]
        latest = _deviate(recent, levels) if recent_weight else None
        speed, _ = _blend(lasting, latest, LASTING_WEIGHT_IN_ANY_STATE)
        excess = -speed - MAX_LOAD_DEVIATION
        share = min(1.0, excess / (CERTAIN_DEVIATION - MAX_LOAD_DEVIATION))
        if share > 0.0:
            slowed[key] = Estimate(speed, share * weight)
    return slowed


def _shrink(estimate: Estimate) -> Estimate:
    """Pull a speed towards the median by the lack of evidence."""
    share = estimate.weight / (estimate.weight + PRIOR_WEIGHT)
    return Estimate(estimate.speed * share, estimate.weight)
