"""Demand smoothed over time."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.model_demand import ModelDemand


class SmoothedDemand(NamedTuple):
    """The average number of requests, and whether the model must be there.

    ``is_wanted`` is set while there is any demand, be it one request of this
    moment, or a contract names the model.
    """

    requests: float
    has_demand: bool
    is_wanted: bool


NO_DEMAND = SmoothedDemand(0.0, has_demand=False, is_wanted=False)


class DemandAverage:
    """An exponential average of each model's demand.

    Demand that swings faster than the half-life moves the average little, so
    it moves no model.

    :param half_life_ms: after how long an old demand counts half.
    :param idle_requests: an average below this is no demand.
    """

    def __init__(self, half_life_ms: int, idle_requests: float) -> None:
        self._half_life_ms = half_life_ms
        self._idle_requests = idle_requests
        self._averages: dict[str, float] = {}
        self._protected: frozenset[str] = frozenset()
        self._noted_ms: int | None = None

    def note(self, demand: Iterable[ModelDemand], now_ms: int) -> None:
        """Take in the demand of this moment; a model left out has none.

        :param demand: by model.
        """
        present = {each.model: each for each in demand}
        self._protected = frozenset(
            each.model
            for each in present.values()
            if each.is_named or each.requests > 0
        )
        keep = self._find_keep(now_ms)
        self._noted_ms = now_ms
        for model in self._averages.keys() | present.keys():
            requests = present[model].requests if model in present else 0.0
            average = self._averages.get(model, requests)
            self._averages[model] = keep * average + (1 - keep) * requests
        for model in [m for m, average in self._averages.items() if m not in present]:
            if self._averages[model] < self._idle_requests:
                del self._averages[model]

    def of(self, model: str) -> SmoothedDemand:
        """Return a model's smoothed demand."""
        requests = self._averages.get(model, 0.0)
        has_demand = requests >= self._idle_requests
        if not has_demand and model not in self._protected:
            return NO_DEMAND
        return SmoothedDemand(requests, has_demand, is_wanted=True)

    def wanted(self) -> list[str]:
        """Return the models that must be there."""
        models = self._averages.keys() | self._protected
        return sorted(model for model in models if self.of(model).is_wanted)

    def _find_keep(self, now_ms: int) -> float:
        """Return what the old average counts: half after each half-life."""
        if self._noted_ms is None:
            return 0.0
        elapsed_ms = max(0, now_ms - self._noted_ms)
        return float(0.5 ** (elapsed_ms / self._half_life_ms))
