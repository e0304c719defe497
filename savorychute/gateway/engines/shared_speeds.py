"""The speeds of engines, from the observations of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from savorychute.gateway.engines.engine_differences import find_last_deviation
from savorychute.gateway.engines.engine_speed import UNKNOWN_SPEED, EngineSpeed
from savorychute.gateway.engines.speed_evidence import SpeedEvidence
from savorychute.gateway.engines.speed_fit import Estimate, compare_engines

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Shortest time between two comparisons of a service's engines.
COMPARISON_MS = 1_000
# A comparison takes about 1.5 us for each row and 17 us for each engine, and the next one
# of any service waits so long that all of them together take 0.2 to 0.4 % of a core.
COMPARISON_MS_PER_ROW = 0.8
COMPARISON_MS_PER_ENGINE = 8
# Speeds from which operators are told that an engine is slow, or well again.
SLOW_SPEED = 0.7
WELL_SPEED = 0.85
MIN_SLOW_WEIGHT = 8.0
MIN_SPEED, MAX_SPEED = 0.1, 4.0
# Services that are named only by observations of a changed configuration are few.
MAX_SERVICES = 256


class SpeedListener(Protocol):
    """Is notified of what was found out about engines."""

    def engine_slow(self, run: EndpointRun, service: str, speed: EngineSpeed) -> None:
        """Handle that an engine was found to be slow."""
        ...

    def engine_well(self, run: EndpointRun, service: str, speed: EngineSpeed) -> None:
        """Handle that a slow engine was found to be well again."""
        ...

    def speeds_compared(
        self, service: str, speeds: Mapping[EndpointRun, EngineSpeed], differ: bool
    ) -> None:
        """Handle the result of a comparison."""
        ...


class _Comparison(NamedTuple):
    """Speeds of a service's engines, and when they are compared again.

    ``deviated_ms`` is the last time at which the engines differed, None if they are
    taken for even.
    """

    speeds: Mapping[EndpointRun, EngineSpeed]
    due_ms: int
    deviated_ms: int | None = None
    slow: frozenset[EndpointRun] = frozenset()


class SharedSpeeds:
    """Compares the engines of each service.

    :param instance: name of this instance.
    :param list_runs: returns the runs of a service's engines.
    :param listener: is notified of results.
    """

    def __init__(
        self,
        instance: str,
        list_runs: Callable[[str], Sequence[EndpointRun]],
        listener: SpeedListener,
    ) -> None:
        self.evidence = SpeedEvidence(instance)
        self._list_runs = list_runs
        self._listener = listener
        self._comparisons: dict[str, _Comparison] = {}
        self._next_ms = 0

    def speed(self, run: EndpointRun, service: str, now_ms: int) -> EngineSpeed:
        """Return the speed of one run of an engine.

        Exactly 1.0 as long as the engines of the service are taken for even.

        :param run: the run.
        :param service: name of the engine's service.
        :param now_ms: the current time.
        """
        comparison = self._comparisons.get(service)
        if comparison is None:
            comparison = self._add(service, now_ms)
        return comparison.speeds.get(run, UNKNOWN_SPEED)

    def observe(
        self,
        run: EndpointRun,
        service: str,
        cell: int,
        ms_per_unit: float,
        now_ms: int,
        weight: float = 1.0,
    ) -> None:
        """Add an observation of this instance.

        :param run: the observed run.
        :param service: name of the engine's service.
        :param cell: the cell of comparable observations.
        :param ms_per_unit: the measured time, by the unit of the cell.
        :param now_ms: the current time.
        :param weight: number of observations that it stands for.
        """
        if service not in self._comparisons:
            self._add(service, now_ms)
        self.evidence.observe(run, cell, ms_per_unit, now_ms, weight)

    def refresh(self, now_ms: int) -> None:
        """Compare the engines of the service that is due first, if any.

        One at a time, so that other work is not held up.

        :param now_ms: the current time.
        """
        if now_ms < self._next_ms:
            return
        service = min(
            self._comparisons,
            key=lambda each: self._comparisons[each].due_ms,
            default=None,
        )
        if service is not None and self._comparisons[service].due_ms <= now_ms:
            self._comparisons[service] = self._compare(service, now_ms)

    def _add(self, service: str, now_ms: int) -> _Comparison:
        if len(self._comparisons) >= MAX_SERVICES:
            self._comparisons.pop(next(iter(self._comparisons)))
        comparison = self._comparisons[service] = _Comparison({}, now_ms)
        return comparison

    def _compare(self, service: str, now_ms: int) -> _Comparison:
        known = self._comparisons[service]
        pools = {}
        runs = self._list_runs(service)
        for run in runs:
            key = self.evidence.key(run)
            pool = self.evidence.pool(key, now_ms) if key is not None else None
            if pool is not None:
                pools[run] = pool
        estimates = compare_engines({run: pool.cells for run, pool in pools.items()})
        combined = [each.combined for each in estimates.values()]
        deviated_ms = find_last_deviation(combined, known.deviated_ms, now_ms)
        differ = deviated_ms is not None
        speeds = {}
        for run, estimate in estimates.items():
            age_ms = max(0, now_ms - pools[run].observed_ms)
            factors = (1.0, 1.0, 1.0)
            if differ:
                factors = (
                    _to_factor(estimate.combined),
                    _to_factor(estimate.prefill),
                    _to_factor(estimate.generation),
                )
            relative, prefill, generation = factors
            weight = estimate.combined.weight
            speeds[run] = EngineSpeed(relative, weight, age_ms, prefill, generation)
        rows = sum(pool.rows for pool in pools.values())
        pause_ms = COMPARISON_MS_PER_ROW * rows + COMPARISON_MS_PER_ENGINE * len(pools)
        self._next_ms = now_ms + round(pause_ms)
        due_ms = now_ms + COMPARISON_MS
        slow = self._report_changes(service, speeds, known.slow)
        self._listener.speeds_compared(service, speeds, differ)
        return _Comparison(speeds, due_ms, deviated_ms, slow)

    def _report_changes(
        self,
        service: str,
        speeds: Mapping[EndpointRun, EngineSpeed],
        known_slow: frozenset[EndpointRun],
    ) -> frozenset[EndpointRun]:
        slow = set()
        for run, speed in speeds.items():
            was_slow = run in known_slow
            is_slow = speed.relative < (WELL_SPEED if was_slow else SLOW_SPEED)
            if is_slow and not was_slow and speed.weight < MIN_SLOW_WEIGHT:
                continue
            if is_slow:
                slow.add(run)
            if is_slow and not was_slow:
                self._listener.engine_slow(run, service, speed)
            elif was_slow and not is_slow:
                self._listener.engine_well(run, service, speed)
        return frozenset(slow)


def _to_factor(estimate: Estimate) -> float:
    return max(MIN_SPEED, min(MAX_SPEED, 2.0**estimate.speed))
