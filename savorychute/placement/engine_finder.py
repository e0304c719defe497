"""The choice of an engine for another replica of a model."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from savorychute.placement.fleet import MIN_DOMAINS
from savorychute.placement.shortage_reason import ShortageReason

if TYPE_CHECKING:
    from savorychute.placement.change_log import ChangeLog
    from savorychute.placement.demand_average import DemandAverage
    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.fleet import Fleet
    from savorychute.placement.settings import PlacementSettings

FULL_UTILISATION = 1.0


class Replacement(NamedTuple):
    """An engine at which another model replaces *victim*."""

    endpoint: str
    victim: str


class EngineFinder:
    """Finds engines with free capacity, and models that can be unloaded.

    :param settings: utilisation and margins.
    :param demand: the smoothed demand.
    :param changes: open changes and dwell times.
    :param fleet: the engines.
    :param now_ms: the current time.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        demand: DemandAverage,
        changes: ChangeLog,
        fleet: Fleet,
        now_ms: int,
    ) -> None:
        self._settings = settings
        self._demand = demand
        self._changes = changes
        self._fleet = fleet
        self._now_ms = now_ms
        self._stale_engines: set[str] = set()

    @property
    def stale_engines(self) -> frozenset[str]:
        """The engines whose reports were too old for a decision."""
        return frozenset(self._stale_engines)

    def find_free_engine(self, model: str, reason: ShortageReason) -> str | None:
        """Return the engine with free capacity that suits a model best."""
        names = [
            engine.endpoint
            for engine in self._list_candidates(model, reason)
            if self.has_free_capacity(engine)
            and self._lowers_utilisation(model, reason, engine.endpoint)
        ]
        used_domains = self._fleet.domains(self._fleet.replicas(model))
        return min(
            names,
            key=lambda name: self._sort_key(model, name, used_domains),
            default=None,
        )

    def find_replacement(
        self, model: str, reason: ShortageReason
    ) -> Replacement | None:
        """Return the engine and the victim that a model can replace best.

        A model that is not required is replaced first, then the one with the
        lowest utilisation after the unload.
        """
        utilisation = self._fleet.utilisation(model)
        used_domains = self._fleet.domains(self._fleet.replicas(model))
        replacements = []
        for engine in self._list_candidates(model, reason):
            name = engine.endpoint
            if self._changes.incoming_models(name) or self._changes.outgoing_models(
                name
            ):
                continue
            for victim in sorted(engine.loaded):
                utilisation_after = self._fleet.utilisation_without(victim, name)
                if self._can_unload(
                    victim, name, reason, utilisation, utilisation_after
                ):
                    is_required = self._demand.demand_of(victim).is_required
                    sort_key = (
                        is_required,
                        utilisation_after,
                        *self._sort_key(model, name, used_domains),
                    )
                    replacements.append((sort_key, Replacement(name, victim)))
        return min(replacements)[1] if replacements else None

    def has_free_capacity(self, engine: EngineState) -> bool:
        """Return whether an engine holds fewer models than it can.

        A model whose unload no report shows yet still occupies capacity.
        """
        occupied = engine.loaded | self._changes.incoming_models(engine.endpoint)
        return len(occupied) < self._changes.max_models(engine.endpoint)

    def _list_candidates(self, model: str, reason: ShortageReason) -> list[EngineState]:
        fleet = self._fleet
        used_domains: set[str] = set()
        if reason is ShortageReason.ONE_DOMAIN:
            used_domains = fleet.domains(fleet.replicas(model))
        suitable = [
            engine
            for name, engine in fleet.engines.items()
            if model in engine.allowed
            and model not in engine.loaded
            and model not in fleet.expected_models[name]
            and engine.failure_domain not in used_domains
            and self._changes.can_change(name, model, self._now_ms)
        ]
        return [
            engine for engine in suitable if self._has_fresh_report(engine.endpoint)
        ]

    def _has_fresh_report(self, endpoint: str) -> bool:
        """Return whether there is a fresh report; request one if not."""
        if self._fleet.is_fresh(endpoint):
            return True
        self._stale_engines.add(endpoint)
        return False

    def _lowers_utilisation(
        self, model: str, reason: ShortageReason, endpoint: str
    ) -> bool:
        """Return whether the models there would stay less utilised than *model*.

        Otherwise an overloaded model would be loaded on engines that are as
        overloaded, without any gain.
        """
        if reason is not ShortageReason.CROWDED:
            return True
        max_utilisation = self._fleet.utilisation(model) / (
            1 + self._settings.margin_share
        )
        return all(
            self._fleet.utilisation_with_another(other, endpoint) < max_utilisation
            for other in self._fleet.expected_models[endpoint]
            if self._demand.demand_of(other).has_demand
        )

    def _can_unload(
        self,
        victim: str,
        endpoint: str,
        reason: ShortageReason,
        utilisation: float,
        utilisation_after: float,
    ) -> bool:
        """Return whether a replica can be unloaded to free capacity.

        A model that has demand or that a contract names keeps at least one
        other replica that a fresh report shows as ready.  It also keeps two
        failure domains, unless the other model has demand and no replica at
        all.

        :param utilisation: the utilisation of the model that needs a replica.
        :param utilisation_after: the utilisation of the victim without this
            replica.
        """
        if not self._changes.can_change(endpoint, victim, self._now_ms):
            return False
        smoothed = self._demand.demand_of(victim)
        if not smoothed.is_required:
            return True
        for name in self._fleet.replicas(victim):
            self._has_fresh_report(name)
        other_replicas = self._fleet.other_ready_replicas(victim, endpoint)
        if not other_replicas:
            return False
        if not smoothed.has_demand or reason is ShortageReason.ABSENT:
            return True
        if not self._keeps_enough_domains(victim, other_replicas):
            return False
        if reason is ShortageReason.CROWDED:
            return utilisation_after * (1 + self._settings.margin_share) < utilisation
        return utilisation_after <= FULL_UTILISATION

    def _keeps_enough_domains(self, victim: str, other_replicas: list[str]) -> bool:
        fleet = self._fleet
        domains_before = len(fleet.domains(fleet.replicas(victim)))
        return len(fleet.domains(other_replicas)) >= min(MIN_DOMAINS, domains_before)

    def _sort_key(
        self, model: str, endpoint: str, used_domains: set[str]
    ) -> tuple[bool, int, int, int]:
        """Return a sort key of how well an engine suits a model, the best first."""
        engine = self._fleet.engines[endpoint]
        tie_breaker = xxhash.xxh32_intdigest(f'{model}|{endpoint}'.encode())
        return (
            engine.failure_domain in used_domains,
            len(self._fleet.expected_models[endpoint]),
            -engine.concurrent_requests,
            int(tie_breaker),
        )
