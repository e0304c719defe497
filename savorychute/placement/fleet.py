"""The engines of a region with what they hold, at one moment."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.placement.lack import Lack

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.change_log import ChangeLog
    from savorychute.placement.demand_average import DemandAverage
    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.settings import PlacementSettings

WANTED_DOMAINS = 2

#: Sums of shares that differ by less are equal; they are rounded.
LEAST_PLACES = 1e-6


class Fleet:
    """Copies, places and pressures, with open changes taken into account.

    A *copy* is a model at an engine that was heard of lately, loaded or on its
    way.  It is *ready* if a fresh report shows it and no unload is under way.
    The *pressure* on a model is its demand divided by its places; engines
    divide their places among those of their models that have demand.

    :param settings: how old reports may be.
    :param demand: smoothed.
    :param changes: open changes.
    :param engines: all engines of the region.
    :param now_ms: the time.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        demand: DemandAverage,
        changes: ChangeLog,
        engines: Iterable[EngineState],
        now_ms: int,
    ) -> None:
        self._settings = settings
        self._demand = demand
        self.engines: dict[str, EngineState] = {}
        self.holds: dict[str, set[str]] = {}
        self._fresh: set[str] = set()
        self._copies: dict[str, list[str]] = {}
        self._ready: dict[str, list[str]] = {}
        self._busy: dict[str, int] = {}
        self._places: dict[str, float] = {}
        self._ready_places: dict[str, float] = {}
        for engine in engines:
            if is_heard(engine, settings.forget_ms, now_ms) and engine.is_usable:
                self._add(engine, changes, now_ms)

    def is_fresh(self, endpoint: str) -> bool:
        """Return whether an engine's report is new enough to act on."""
        return endpoint in self._fresh

    def copies(self, model: str) -> list[str]:
        """Return the engines with a copy, ready or not."""
        return self._copies.get(model, [])

    def ready_besides(self, model: str, endpoint: str) -> list[str]:
        """Return the other engines with a ready copy."""
        return [name for name in self._ready.get(model, ()) if name != endpoint]

    def domains(self, endpoints: Iterable[str]) -> set[str]:
        """Return the failure domains of engines."""
        return {self.engines[name].failure_domain for name in endpoints}

    def pressure(self, model: str) -> float:
        """Return the demand on a model as a share of its places."""
        return self._divide(model, self._places.get(model, 0.0))

    def pressure_without(self, model: str, endpoint: str) -> float:
        """Return the pressure on the ready copies if one were unloaded."""
        places = self._ready_places.get(model, 0.0)
        if endpoint in self._ready.get(model, ()):
            places -= self._share(endpoint)
        return self._divide(model, places)

    def pressure_beside(self, model: str, endpoint: str) -> float:
        """Return the pressure on a model if an engine that has it held one more."""
        places = self._places[model] - self._share(endpoint)
        return self._divide(model, places + self._share(endpoint, more=1))

    def find_lack(self, model: str) -> Lack | None:
        """Return what a wanted model lacks, if anything."""
        copies = self.copies(model)
        wanted = self._demand.of(model)
        if not wanted.has_demand:
            return None if copies or not wanted.is_wanted else Lack.UNUSED
        if not copies:
            return Lack.ABSENT
        domains = self.domains(copies)
        if len(domains) < WANTED_DOMAINS and self._is_allowed_beyond(model, domains):
            return Lack.ONE_DOMAIN
        if self.pressure(model) > self._settings.target_utilisation:
            return Lack.CROWDED
        return None

    def _add(self, engine: EngineState, changes: ChangeLog, now_ms: int) -> None:
        name = engine.endpoint
        going = changes.going(name)
        holds = set(engine.loaded - going) | changes.coming(name)
        self.engines[name] = engine
        self.holds[name] = holds
        self._busy[name] = sum(self._demand.of(model).has_demand for model in holds)
        share = self._share(name)
        for model in holds:
            self._copies.setdefault(model, []).append(name)
            self._places[model] = self._places.get(model, 0.0) + share
        if not is_heard(engine, self._settings.fresh_ms, now_ms):
            return
        self._fresh.add(name)
        for model in engine.loaded - going:
            self._ready.setdefault(model, []).append(name)
            ready_places = self._ready_places.get(model, 0.0)
            self._ready_places[model] = ready_places + share

    def _is_allowed_beyond(self, model: str, domains: set[str]) -> bool:
        """Return whether an engine of another failure domain may serve it."""
        return any(
            model in engine.allowed and engine.failure_domain not in domains
            for engine in self.engines.values()
        )

    def _share(self, endpoint: str, more: int = 0) -> float:
        """Return the places of each model with demand at an engine."""
        busy = max(1, self._busy[endpoint]) + more
        return self.engines[endpoint].concurrent_requests / busy

    def _divide(self, model: str, places: float) -> float:
        requests = self._demand.of(model).requests
        if places < LEAST_PLACES:
            return math.inf if requests > 0 else 0.0
        return requests / places


def is_heard(engine: EngineState, within_ms: int, now_ms: int) -> bool:
    """Return whether an engine's report is not older than this.

    :param engine: the engine.
    :param within_ms: the greatest age.
    :param now_ms: the time.
    """
    return engine.as_of_ms >= 0 and now_ms - engine.as_of_ms <= within_ms
