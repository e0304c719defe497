"""Demand smoothed over time."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.model_demand import ModelDemand
    from savorychute.placement.settings import PlacementSettings


class SmoothedDemand(NamedTuple):
    """How many requests a model is sized for, and whether it must be there.

    ``is_wanted`` is set while there is any demand, be it one request of this
    moment, or a contract names the model.
    """

    requests: float
    has_demand: bool
    is_wanted: bool


NO_DEMAND = SmoothedDemand(0.0, has_demand=False, is_wanted=False)


class _Averages(NamedTuple):
    mean: float
    held: float


class DemandAverage:
    """Two averages of each model's demand.

    The *mean* follows the demand with one half-life both ways and says whether
    there is any.  The *held* demand rises with the mean but falls with a much
    longer half-life, and says how many copies are due: of two models between
    which demand swings to and fro, each is sized for its peaks, and neither
    gives up a copy that it will want back a minute later.

    :param settings: half-lives and the least demand.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._averages: dict[str, _Averages] = {}
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
        elapsed_ms = 0
        if self._noted_ms is not None:
            elapsed_ms = max(0, now_ms - self._noted_ms)
        self._noted_ms = now_ms
        for model in self._averages.keys() | present.keys():
            requests = present[model].requests if model in present else 0.0
            self._follow(model, requests, elapsed_ms)
        self._forget_idle(present.keys())

    def of(self, model: str) -> SmoothedDemand:
        """Return a model's smoothed demand."""
        averages = self._averages.get(model)
        if averages is None:
            return NO_DEMAND
        has_demand = averages.mean >= self._settings.idle_requests
        is_wanted = has_demand or model in self._protected
        return SmoothedDemand(averages.held, has_demand, is_wanted)

    def wanted(self) -> list[str]:
        """Return the models that must be there."""
        return sorted(model for model in self._averages if self.of(model).is_wanted)

    def _follow(self, model: str, requests: float, elapsed_ms: int) -> None:
        """Let an old average count half after each half-life."""
        before = self._averages.get(model)
        if before is None:
            self._averages[model] = _Averages(requests, requests)
            return
        settings = self._settings
        keep = 0.5 ** (elapsed_ms / settings.half_life_ms)
        mean = keep * before.mean + (1 - keep) * requests
        keep_held = 0.5 ** (elapsed_ms / settings.fall_half_life_ms)
        held = max(mean, keep_held * before.held + (1 - keep_held) * mean)
        self._averages[model] = _Averages(mean, held)

    def _forget_idle(self, present: Iterable[str]) -> None:
        idle_requests = self._settings.idle_requests
        idle = [
            model
            for model, averages in self._averages.items()
            if averages.held < idle_requests and model not in self._protected
        ]
        for model in set(idle).difference(present):
            del self._averages[model]
