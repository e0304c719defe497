"""A snapshot of the engines of a region and their models."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.placement.shortage_reason import ShortageReason

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.change_log import ChangeLog
    from savorychute.placement.demand_average import DemandAverage
    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.settings import PlacementSettings

MIN_DOMAINS = 2

#: Fewer slots than this count as none, because sums of shares have rounding errors.
SLOT_TOLERANCE = 1e-6


class Fleet:
    """Replicas, slots and utilisation, with open changes taken into account.

    A *replica* is a model that is loaded or being loaded at an engine that has
    reported recently.  It is *ready* if a fresh report shows it and no unload is
    pending.  The *utilisation* of a model is its demand divided by its slots;
    engines divide their slots among those of their models that have demand.

    :param settings: the maximum age of reports.
    :param demand: the smoothed demand.
    :param changes: the open changes.
    :param engines: all engines of the region.
    :param now_ms: the current time.
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
        self.expected_models: dict[str, set[str]] = {}
        self._fresh: set[str] = set()
        self._replicas: dict[str, list[str]] = {}
        self._ready: dict[str, list[str]] = {}
        self._active_model_counts: dict[str, int] = {}
        self._slots: dict[str, float] = {}
        self._ready_slots: dict[str, float] = {}
        for engine in engines:
            if (
                is_reported_within(engine, settings.forget_ms, now_ms)
                and engine.is_usable
            ):
                self._add(engine, changes, now_ms)

    def is_fresh(self, endpoint: str) -> bool:
        """Return whether the report of an engine is recent enough to act on."""
        return endpoint in self._fresh

    def replicas(self, model: str) -> list[str]:
        """Return the engines with a replica of a model, ready or not."""
        return self._replicas.get(model, [])

    def other_ready_replicas(self, model: str, endpoint: str) -> list[str]:
        """Return the engines other than *endpoint* with a ready replica."""
        return [name for name in self._ready.get(model, ()) if name != endpoint]

    def domains(self, endpoints: Iterable[str]) -> set[str]:
        """Return the failure domains of the given engines."""
        return {self.engines[name].failure_domain for name in endpoints}

    def utilisation(self, model: str) -> float:
        """Return the demand for a model as a share of its slots."""
        return self._utilisation_of_slots(model, self._slots.get(model, 0.0))

    def utilisation_without(self, model: str, endpoint: str) -> float:
        """Return the utilisation of the ready replicas if one were unloaded."""
        slots = self._ready_slots.get(model, 0.0)
        if endpoint in self._ready.get(model, ()):
            slots -= self._slots_per_model(endpoint)
        return self._utilisation_of_slots(model, slots)

    def utilisation_with_another(self, model: str, endpoint: str) -> float:
        """Return the utilisation of a model if its engine loaded another one."""
        slots = self._slots[model] - self._slots_per_model(endpoint)
        return self._utilisation_of_slots(
            model, slots + self._slots_per_model(endpoint, added_models=1)
        )

    def find_shortage(self, model: str) -> ShortageReason | None:
        """Return why a required model needs another replica, if it does."""
        replicas = self.replicas(model)
        smoothed = self._demand.demand_of(model)
        if not smoothed.has_demand:
            return (
                None if replicas or not smoothed.is_required else ShortageReason.UNUSED
            )
        if not replicas:
            return ShortageReason.ABSENT
        domains = self.domains(replicas)
        if len(domains) < MIN_DOMAINS and self._is_allowed_outside(model, domains):
            return ShortageReason.ONE_DOMAIN
        if self.utilisation(model) > self._settings.target_utilisation:
            return ShortageReason.CROWDED
        return None

    def _add(self, engine: EngineState, changes: ChangeLog, now_ms: int) -> None:
        name = engine.endpoint
        outgoing_models = changes.outgoing_models(name)
        expected_models = set(
            engine.loaded - outgoing_models
        ) | changes.incoming_models(name)
        self.engines[name] = engine
        self.expected_models[name] = expected_models
        self._active_model_counts[name] = sum(
            self._demand.demand_of(model).has_demand for model in expected_models
        )
        slots_per_model = self._slots_per_model(name)
        for model in expected_models:
            self._replicas.setdefault(model, []).append(name)
            self._slots[model] = self._slots.get(model, 0.0) + slots_per_model
        if not is_reported_within(engine, self._settings.fresh_ms, now_ms):
            return
        self._fresh.add(name)
        for model in engine.loaded - outgoing_models:
            self._ready.setdefault(model, []).append(name)
            ready_slots = self._ready_slots.get(model, 0.0)
            self._ready_slots[model] = ready_slots + slots_per_model

    def _is_allowed_outside(self, model: str, domains: set[str]) -> bool:
        """Return whether an engine outside *domains* may serve a model."""
        return any(
            model in engine.allowed and engine.failure_domain not in domains
            for engine in self.engines.values()
        )

    def _slots_per_model(self, endpoint: str, added_models: int = 0) -> float:
        """Return the slots of each model with demand at an engine."""
        active_models = max(1, self._active_model_counts[endpoint]) + added_models
        return self.engines[endpoint].concurrent_requests / active_models

    def _utilisation_of_slots(self, model: str, slots: float) -> float:
        requests = self._demand.demand_of(model).requests
        if slots < SLOT_TOLERANCE:
            return math.inf if requests > 0 else 0.0
        return requests / slots


def is_reported_within(engine: EngineState, max_age_ms: int, now_ms: int) -> bool:
    """Return whether the report of an engine is at most this old.

    :param engine: the engine.
    :param max_age_ms: the maximum age.
    :param now_ms: the current time.
    """
    return engine.as_of_ms >= 0 and now_ms - engine.as_of_ms <= max_age_ms
