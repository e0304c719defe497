"""Find a place for another copy of a model."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from savorychute.placement.fleet import WANTED_DOMAINS
from savorychute.placement.lack import Lack

if TYPE_CHECKING:
    from savorychute.placement.change_log import ChangeLog
    from savorychute.placement.demand_average import DemandAverage
    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.fleet import Fleet
    from savorychute.placement.settings import PlacementSettings

FULL = 1.0


class Room(NamedTuple):
    """An engine at which a model gives way to another one."""

    endpoint: str
    victim: str


class PlaceFinder:
    """Finds free places, and models that may give way.

    :param settings: utilisation and margins.
    :param demand: smoothed.
    :param changes: open changes and dwell times.
    :param fleet: the engines.
    :param now_ms: the time.
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
        self._questions: set[str] = set()

    @property
    def questions(self) -> frozenset[str]:
        """Engines whose reports were too old to decide."""
        return frozenset(self._questions)

    def find_free(self, model: str, lack: Lack) -> str | None:
        """Return the engine with a free place that suits a model best."""
        names = [
            engine.endpoint
            for engine in self._list_candidates(model, lack)
            if self.has_room(engine) and self._is_worth(model, lack, engine.endpoint)
        ]
        taken = self._fleet.domains(self._fleet.copies(model))
        return min(names, key=lambda name: self._rank(model, name, taken), default=None)

    def find_room(self, model: str, lack: Lack) -> Room | None:
        """Return where a model can take another one's place best.

        What nobody wants goes first, then what its other copies serve best.
        """
        pressure = self._fleet.pressure(model)
        taken = self._fleet.domains(self._fleet.copies(model))
        rooms = []
        for engine in self._list_candidates(model, lack):
            name = engine.endpoint
            if self._changes.coming(name) or self._changes.going(name):
                continue
            for victim in sorted(engine.loaded):
                after = self._fleet.pressure_without(victim, name)
                if self._may_take(victim, name, lack, pressure, after):
                    is_wanted = self._demand.of(victim).is_wanted
                    rank = (is_wanted, after, *self._rank(model, name, taken))
                    rooms.append((rank, Room(name, victim)))
        return min(rooms)[1] if rooms else None

    def has_room(self, engine: EngineState) -> bool:
        """Return whether an engine holds less than it can.

        A model whose unload no report shows yet still takes its place.
        """
        held = engine.loaded | self._changes.coming(engine.endpoint)
        return len(held) < self._changes.slots(engine.endpoint)

    def _list_candidates(self, model: str, lack: Lack) -> list[EngineState]:
        fleet = self._fleet
        taken: set[str] = set()
        if lack is Lack.ONE_DOMAIN:
            taken = fleet.domains(fleet.copies(model))
        suitable = [
            engine
            for name, engine in fleet.engines.items()
            if model in engine.allowed
            and model not in engine.loaded
            and model not in fleet.holds[name]
            and engine.failure_domain not in taken
            and self._changes.may_change(name, model, self._now_ms)
        ]
        return [engine for engine in suitable if self._is_known(engine.endpoint)]

    def _is_known(self, endpoint: str) -> bool:
        """Return whether a fresh report is there; ask for one if not."""
        if self._fleet.is_fresh(endpoint):
            return True
        self._questions.add(endpoint)
        return False

    def _is_worth(self, model: str, lack: Lack, endpoint: str) -> bool:
        """Return whether the models already there can do with less.

        Without this a crowded model would spread into free places of engines
        that are as crowded, and gain nothing.
        """
        if lack is not Lack.CROWDED:
            return True
        highest = self._fleet.pressure(model) / (1 + self._settings.margin_share)
        return all(
            self._fleet.pressure_beside(other, endpoint) < highest
            for other in self._fleet.holds[endpoint]
            if self._demand.of(other).has_demand
        )

    def _may_take(
        self, victim: str, endpoint: str, lack: Lack, pressure: float, after: float
    ) -> bool:
        """Return whether a copy may be unloaded to make room.

        A model that has demand or that a contract names keeps at least one
        other copy that is ready now, by a fresh report.  It also keeps two
        failure domains, except where a model with demand has no copy at all.

        :param pressure: on the model that wants the place.
        :param after: on the victim without this copy.
        """
        if not self._changes.may_change(endpoint, victim, self._now_ms):
            return False
        wanted = self._demand.of(victim)
        if not wanted.is_wanted:
            return True
        for name in self._fleet.copies(victim):
            self._is_known(name)
        others = self._fleet.ready_besides(victim, endpoint)
        if not others:
            return False
        if not wanted.has_demand or lack is Lack.ABSENT:
            return True
        if not self._keeps_domains(victim, others):
            return False
        if lack is Lack.CROWDED:
            return after * (1 + self._settings.margin_share) < pressure
        return after <= FULL

    def _keeps_domains(self, victim: str, others: list[str]) -> bool:
        fleet = self._fleet
        before = len(fleet.domains(fleet.copies(victim)))
        return len(fleet.domains(others)) >= min(WANTED_DOMAINS, before)

    def _rank(
        self, model: str, endpoint: str, taken: set[str]
    ) -> tuple[bool, int, int, int]:
        """Return how well an engine suits a model; the lowest is the best."""
        engine = self._fleet.engines[endpoint]
        mixed = xxhash.xxh32_intdigest(f'{model}|{endpoint}'.encode())
        return (
            engine.failure_domain in taken,
            len(self._fleet.holds[endpoint]),
            -engine.concurrent_requests,
            int(mixed),
        )
