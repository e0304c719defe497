"""The planner, which decides where models are loaded and unloaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.leases.order_request import LOAD, UNLOAD
from savorychute.placement.change_log import ChangeLog
from savorychute.placement.demand_average import DemandAverage
from savorychute.placement.engine_finder import EngineFinder
from savorychute.placement.fleet import Fleet, is_reported_within
from savorychute.placement.load_allowance import LoadAllowance
from savorychute.placement.placement_order import PlacementOrder
from savorychute.placement.shortage_reason import ShortageReason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.model_demand import ModelDemand
    from savorychute.placement.settings import PlacementSettings

REASON_TEXTS = {
    ShortageReason.ABSENT: 'no copy for {requests:.1f} requests',
    ShortageReason.ONE_DOMAIN: (
        'all copies in one failure domain, {requests:.1f} requests'
    ),
    ShortageReason.CROWDED: (
        '{requests:.1f} requests fill {utilisation:.0%} of its places'
    ),
    ShortageReason.UNUSED: 'no copy, and a contract names it',
}


class PlacementPlanner:
    """Plans the models on the engines of one region.

    A model stays loaded until its capacity is needed, so that idle models need
    no load when their demand returns.  Capacity is needed by a model without a
    replica, by one whose replicas share a failure domain, and by one whose
    utilisation is too high; the least needed replica is then unloaded.

    A planner is used as long as its instance holds the lease without a break.
    A new one only observes at first, and leaves the models that it finds loaded
    for a dwell time.

    :param settings: rates, times and margins.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._demand = DemandAverage(settings)
        self._changes = ChangeLog(settings)
        self._allowance = LoadAllowance(
            settings.loads_per_min, settings.concurrent_loads
        )
        self._started_ms: int | None = None
        self._stale_engines: frozenset[str] = frozenset()

    @property
    def stale_engines(self) -> frozenset[str]:
        """The engines of which the last plan needed a newer report."""
        return self._stale_engines

    def plan(
        self,
        demand: Sequence[ModelDemand],
        engines: Sequence[EngineState],
        now_ms: int,
    ) -> list[PlacementOrder]:
        """Return the orders to send now; they count as sent.

        :param demand: the demand of each model that has any or that a contract
            names.
        :param engines: all model engines of the region.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
            self._allowance.start(now_ms)
        self._stale_engines = frozenset()
        self._demand.update(demand, now_ms)
        self._changes.reconcile(engines, now_ms)
        if not self._can_order(engines, now_ms):
            return []
        orders = self._load_reserved(engines, now_ms)
        while len(orders) < self._settings.concurrent_loads:
            order = self._find_order(engines, now_ms)
            if order is None:
                break
            orders.append(order)
        return orders

    def record_refused_order(self, endpoint: str, target: str, now_ms: int) -> None:
        """Record that an order certainly had no effect.

        :param endpoint: the engine to which the order was addressed.
        :param target: the model of the order.
        """
        self._changes.record_refusal(endpoint, target, now_ms)

    def _can_order(self, engines: Sequence[EngineState], now_ms: int) -> bool:
        """Return whether enough engines have reported to send orders.

        If few engines report, it is more likely that the lease holder is cut off
        from them than that all others have failed; acting on such reports would
        load models a second time.
        """
        settings = self._settings
        if self._started_ms is None or now_ms - self._started_ms < settings.warm_up_ms:
            return False
        reported_engines = sum(
            is_reported_within(engine, settings.forget_ms, now_ms) for engine in engines
        )
        return 0 < reported_engines >= settings.min_heard_share * len(engines)

    def _load_reserved(
        self, engines: Sequence[EngineState], now_ms: int
    ) -> list[PlacementOrder]:
        """Load models with a reservation where a report shows free capacity."""
        orders: list[PlacementOrder] = []
        by_name = {engine.endpoint: engine for engine in engines}
        for endpoint, model in self._changes.reservations():
            engine = by_name[endpoint]
            has_free_capacity = len(engine.loaded) < self._changes.max_models(endpoint)
            if not has_free_capacity or self._changes.outgoing_models(endpoint):
                continue
            if not self._allowance.permits(now_ms):
                continue
            self._changes.release(endpoint)
            if model in engine.allowed and engine.is_usable:
                why = 'its place has been made'
                order = PlacementOrder(endpoint, LOAD, model, why)
                orders.append(self._record_sent(order, now_ms))
        return orders

    def _find_order(
        self, engines: Sequence[EngineState], now_ms: int
    ) -> PlacementOrder | None:
        """Return an order for the most urgent change that is possible now."""
        if self._changes.pending_loads >= self._settings.concurrent_loads:
            return None
        if not self._allowance.permits(now_ms):
            return None
        settings = self._settings
        fleet = Fleet(settings, self._demand, self._changes, engines, now_ms)
        finder = EngineFinder(settings, self._demand, self._changes, fleet, now_ms)
        for reason, model in self._list_shortages(fleet):
            order = self._plan_replica(model, reason, fleet, finder, now_ms)
            if order is not None:
                return order
        self._stale_engines |= finder.stale_engines
        return None

    def _list_shortages(self, fleet: Fleet) -> list[tuple[ShortageReason, str]]:
        reasons = [
            (fleet.find_shortage(model), model)
            for model in self._demand.required_models()
        ]
        shortages = [(reason, model) for reason, model in reasons if reason is not None]
        return sorted(
            shortages,
            key=lambda shortage: (shortage[0], -fleet.utilisation(shortage[1])),
        )

    def _plan_replica(
        self,
        model: str,
        reason: ShortageReason,
        fleet: Fleet,
        finder: EngineFinder,
        now_ms: int,
    ) -> PlacementOrder | None:
        """Order a load into free capacity, or an unload that frees some."""
        why = REASON_TEXTS[reason].format(
            requests=self._demand.demand_of(model).requests,
            utilisation=fleet.utilisation(model),
        )
        endpoint = finder.find_free_engine(model, reason)
        if endpoint is not None:
            return self._record_sent(PlacementOrder(endpoint, LOAD, model, why), now_ms)
        replacement = finder.find_replacement(model, reason)
        if replacement is None:
            return None
        self._changes.reserve(replacement.endpoint, model, now_ms)
        why = f'room for {model}: {why}'
        order = PlacementOrder(replacement.endpoint, UNLOAD, replacement.victim, why)
        return self._record_sent(order, now_ms)

    def _record_sent(self, order: PlacementOrder, now_ms: int) -> PlacementOrder:
        if order.verb == LOAD:
            self._allowance.spend(now_ms)
        self._changes.record_order(order, now_ms)
        return order
