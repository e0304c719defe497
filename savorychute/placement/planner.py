"""Decide which models are to be loaded and unloaded where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.leases.order_request import LOAD, UNLOAD
from savorychute.placement.change_log import ChangeLog
from savorychute.placement.demand_average import DemandAverage
from savorychute.placement.fleet import Fleet, is_heard
from savorychute.placement.lack import Lack
from savorychute.placement.load_allowance import LoadAllowance
from savorychute.placement.place_finder import PlaceFinder
from savorychute.placement.placement_order import PlacementOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.model_demand import ModelDemand
    from savorychute.placement.settings import PlacementSettings

REASONS = {
    Lack.ABSENT: 'no copy for {requests:.1f} requests',
    Lack.ONE_DOMAIN: 'all copies in one failure domain, {requests:.1f} requests',
    Lack.CROWDED: '{requests:.1f} requests fill {pressure:.0%} of its places',
    Lack.UNUSED: 'no copy, and a contract names it',
}


class PlacementPlanner:
    """Plans one region's engines.

    What is loaded stays until its place is needed, so idle models cost no
    loads when they come back.  A place is needed by a model without a copy, by
    one whose copies share a failure domain, and by one whose demand fills too
    much of its places; then the copy that is missed least gives way.

    A planner lives as long as its holder holds the lease without a break.  A
    new one watches first, and leaves everything that it finds in place for a
    dwell time.

    :param settings: rates, times and margins.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._demand = DemandAverage(settings)
        self._changes = ChangeLog(settings)
        self._allowance = LoadAllowance(
            settings.loads_per_min, settings.concurrent_loads
        )
        self._began_ms: int | None = None
        self._questions: frozenset[str] = frozenset()

    @property
    def questions(self) -> frozenset[str]:
        """Engines of which the last plan needed a newer report."""
        return self._questions

    def plan(
        self,
        demand: Sequence[ModelDemand],
        engines: Sequence[EngineState],
        now_ms: int,
    ) -> list[PlacementOrder]:
        """Return the orders to send now; they count as sent.

        :param demand: of every model that has any or that a contract names.
        :param engines: all model engines of the region.
        """
        if self._began_ms is None:
            self._began_ms = now_ms
            self._allowance.begin(now_ms)
        self._questions = frozenset()
        self._demand.note(demand, now_ms)
        self._changes.follow(engines, now_ms)
        if not self._may_order(engines, now_ms):
            return []
        orders = self._fill_rooms(engines, now_ms)
        while len(orders) < self._settings.concurrent_loads:
            order = self._find_order(engines, now_ms)
            if order is None:
                break
            orders.append(order)
        return orders

    def order_refused(self, endpoint: str, target: str, now_ms: int) -> None:
        """Note that an order certainly had no effect.

        :param endpoint: who got it or should have got it.
        :param target: what it was about.
        """
        self._changes.refused(endpoint, target, now_ms)

    def _may_order(self, engines: Sequence[EngineState], now_ms: int) -> bool:
        """Return whether enough is known to order anything.

        A holder that hears of few engines is rather cut off itself than alone
        with the survivors; acting on that would load models a second time.
        """
        settings = self._settings
        if self._began_ms is None or now_ms - self._began_ms < settings.warm_up_ms:
            return False
        heard = sum(is_heard(each, settings.forget_ms, now_ms) for each in engines)
        return 0 < heard >= settings.min_heard_share * len(engines)

    def _fill_rooms(
        self, engines: Sequence[EngineState], now_ms: int
    ) -> list[PlacementOrder]:
        """Load what waits for room, where a report shows that there is room."""
        orders: list[PlacementOrder] = []
        by_name = {engine.endpoint: engine for engine in engines}
        for endpoint, model in self._changes.reservations():
            engine = by_name[endpoint]
            has_room = len(engine.loaded) < self._changes.slots(endpoint)
            if not has_room or self._changes.going(endpoint):
                continue
            if not self._allowance.permits(now_ms):
                continue
            self._changes.release(endpoint)
            if model in engine.allowed and engine.is_usable:
                why = 'its place has been made'
                order = PlacementOrder(endpoint, LOAD, model, why)
                orders.append(self._send(order, now_ms))
        return orders

    def _find_order(
        self, engines: Sequence[EngineState], now_ms: int
    ) -> PlacementOrder | None:
        """Return the most urgent change that is possible now."""
        if self._changes.loads_under_way >= self._settings.concurrent_loads:
            return None
        if not self._allowance.permits(now_ms):
            return None
        settings = self._settings
        fleet = Fleet(settings, self._demand, self._changes, engines, now_ms)
        finder = PlaceFinder(settings, self._demand, self._changes, fleet, now_ms)
        for lack, model in self._list_lacks(fleet):
            order = self._place(model, lack, fleet, finder, now_ms)
            if order is not None:
                return order
        self._questions |= finder.questions
        return None

    def _list_lacks(self, fleet: Fleet) -> list[tuple[Lack, str]]:
        found = [(fleet.find_lack(model), model) for model in self._demand.wanted()]
        lacks = [(lack, model) for lack, model in found if lack is not None]
        return sorted(lacks, key=lambda each: (each[0], -fleet.pressure(each[1])))

    def _place(
        self, model: str, lack: Lack, fleet: Fleet, finder: PlaceFinder, now_ms: int
    ) -> PlacementOrder | None:
        """Order a load into a free place, or an unload that makes one."""
        why = REASONS[lack].format(
            requests=self._demand.of(model).requests, pressure=fleet.pressure(model)
        )
        endpoint = finder.find_free(model, lack)
        if endpoint is not None:
            return self._send(PlacementOrder(endpoint, LOAD, model, why), now_ms)
        room = finder.find_room(model, lack)
        if room is None:
            return None
        self._changes.reserve(room.endpoint, model, now_ms)
        why = f'room for {model}: {why}'
        order = PlacementOrder(room.endpoint, UNLOAD, room.victim, why)
        return self._send(order, now_ms)

    def _send(self, order: PlacementOrder, now_ms: int) -> PlacementOrder:
        if order.verb == LOAD:
            self._allowance.spend(now_ms)
        self._changes.sent(order, now_ms)
        return order
