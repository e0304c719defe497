"""Demand smoothed over time."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.model_demand import ModelDemand
    from savorychute.placement.settings import PlacementSettings


class SmoothedDemand(NamedTuple):
    """The requests that a model is sized for, and whether it must be loaded.

    ``is_required`` is set while there is any demand, even a single current
    request, or while a contract names the model.
    """

    requests: float
    has_demand: bool
    is_required: bool


NO_DEMAND = SmoothedDemand(0.0, has_demand=False, is_required=False)


class _Averages(NamedTuple):
    mean: float
    peak: float


class DemandAverage:
    """Two averages of the demand for each model.

    The *mean* follows the demand with the same half-life in both directions and
    decides whether there is any.  The *peak* rises with the mean but falls with
    a much longer half-life, and decides how many replicas are needed.  If the
    demand alternates between two models, each is sized for its peaks, and
    neither loses a replica that it needs again a minute later.

    :param settings: half-lives and the minimum demand.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._averages: dict[str, _Averages] = {}
        self._required: frozenset[str] = frozenset()
        self._updated_ms: int | None = None

    def update(self, demand: Iterable[ModelDemand], now_ms: int) -> None:
        """Update the averages with the current demand.

        :param demand: the demand of each model; a missing model has none.
        """
        current = {model_demand.model: model_demand for model_demand in demand}
        self._required = frozenset(
            model_demand.model
            for model_demand in current.values()
            if model_demand.is_named or model_demand.requests > 0
        )
        elapsed_ms = 0
        if self._updated_ms is not None:
            elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        for model in self._averages.keys() | current.keys():
            requests = current[model].requests if model in current else 0.0
            self._update_model(model, requests, elapsed_ms)
        self._remove_idle(current.keys())

    def demand_of(self, model: str) -> SmoothedDemand:
        """Return the smoothed demand of a model."""
        averages = self._averages.get(model)
        if averages is None:
            return NO_DEMAND
        has_demand = averages.mean >= self._settings.idle_requests
        is_required = has_demand or model in self._required
        return SmoothedDemand(averages.peak, has_demand, is_required)

    def required_models(self) -> list[str]:
        """Return the models that must be loaded."""
        return sorted(
            model for model in self._averages if self.demand_of(model).is_required
        )

    def _update_model(self, model: str, requests: float, elapsed_ms: int) -> None:
        """Halve the weight of the old averages after each half-life."""
        previous = self._averages.get(model)
        if previous is None:
            self._averages[model] = _Averages(requests, requests)
            return
        settings = self._settings
        retained_share = 0.5 ** (elapsed_ms / settings.half_life_ms)
        mean = retained_share * previous.mean + (1 - retained_share) * requests
        retained_peak_share = 0.5 ** (elapsed_ms / settings.fall_half_life_ms)
        peak = max(
            mean, retained_peak_share * previous.peak + (1 - retained_peak_share) * mean
        )
        self._averages[model] = _Averages(mean, peak)

    def _remove_idle(self, current: Iterable[str]) -> None:
        idle_requests = self._settings.idle_requests
        idle = [
            model
            for model, averages in self._averages.items()
            if averages.peak < idle_requests and model not in self._required
        ]
        for model in set(idle).difference(current):
            del self._averages[model]
