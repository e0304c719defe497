"""Changes that are under way, and when each engine was changed last."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.leases.order_request import LOAD, UNLOAD

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.placement_order import PlacementOrder
    from savorychute.placement.settings import PlacementSettings

UNHEARD_MS = -1
MAX_DOUBLINGS = 7


class OpenChange(NamedTuple):
    """An order whose effect no report shows yet."""

    verb: str
    sent_ms: int


class Reservation(NamedTuple):
    """A model that is to be loaded as soon as there is room for it."""

    model: str
    since_ms: int


class ChangeLog:
    """Tells what is on its way from what reports show.

    A report lags.  Until one that was taken after an order shows the order's
    effect, a model that is being unloaded counts as gone and one that is being
    loaded as not ready; each mistake is on the safe side.

    :param settings: timeouts and dwell times.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._open: dict[tuple[str, str], OpenChange] = {}
        self._changed_ms: dict[tuple[str, str], int] = {}
        self._barred_until_ms: dict[tuple[str, str], int] = {}
        self._failures: dict[str, int] = {}
        self._reservations: dict[str, Reservation] = {}
        self._loaded: dict[str, frozenset[str]] = {}
        self._most_loaded: dict[str, int] = {}

    def follow(self, engines: Iterable[EngineState], now_ms: int) -> None:
        """Compare open changes with new reports, and give up overdue ones.

        :param engines: all engines of the region.
        """
        names = set()
        for engine in engines:
            names.add(engine.endpoint)
            if engine.as_of_ms == UNHEARD_MS:
                continue
            self._follow_report(engine, now_ms)
            if now_ms - engine.as_of_ms > self._settings.forget_ms:
                self._forget_open(engine.endpoint)
        self._drop_overdue(now_ms)
        self._drop_missing(names)

    def sent(self, order: PlacementOrder, now_ms: int) -> None:
        """Note an order that goes out.

        :param order: the order.
        """
        key = (order.endpoint, order.target)
        self._open[key] = OpenChange(order.verb, now_ms)
        self._changed_ms[key] = now_ms

    def refused(self, endpoint: str, target: str, now_ms: int) -> None:
        """Note that an order certainly had no effect.

        :param endpoint: who refused it.
        :param target: the model.
        """
        change = self._open.pop((endpoint, target), None)
        if change is None:
            return
        self._bar(endpoint, target, now_ms)
        if change.verb == UNLOAD:
            self.release(endpoint)

    def reserve(self, endpoint: str, model: str, now_ms: int) -> None:
        """Keep the room that an unload makes for a model."""
        self._reservations[endpoint] = Reservation(model, now_ms)

    def release(self, endpoint: str) -> None:
        """Give a reservation up."""
        self._reservations.pop(endpoint, None)

    def reservations(self) -> list[tuple[str, str]]:
        """Return endpoints with the model that waits for room there."""
        return [(name, held.model) for name, held in self._reservations.items()]

    def coming(self, endpoint: str) -> set[str]:
        """Return what is being loaded or waits for room at an engine."""
        models = self._list_open(endpoint, LOAD)
        held = self._reservations.get(endpoint)
        if held is not None:
            models.add(held.model)
        return models

    def going(self, endpoint: str) -> set[str]:
        """Return what is being unloaded at an engine."""
        return self._list_open(endpoint, UNLOAD)

    @property
    def loads_under_way(self) -> int:
        """How many loads were ordered and are not seen, or wait for room."""
        loads = sum(change.verb == LOAD for change in self._open.values())
        return loads + len(self._reservations)

    def slots(self, endpoint: str) -> int:
        """Return how many models an engine holds."""
        seen = self._most_loaded.get(endpoint, 0)
        return max(self._settings.models_per_engine, seen)

    def may_change(self, endpoint: str, model: str, now_ms: int) -> bool:
        """Return whether the last change of a model at an engine is old enough."""
        key = (endpoint, model)
        if key in self._open or now_ms < self._barred_until_ms.get(key, now_ms):
            return False
        changed_ms = self._changed_ms.get(key)
        if changed_ms is None:
            return True
        return now_ms - changed_ms >= self._settings.min_dwell_ms

    def _follow_report(self, engine: EngineState, now_ms: int) -> None:
        name = engine.endpoint
        before = self._loaded.get(name)
        self._loaded[name] = engine.loaded
        most = self._most_loaded.get(name, 0)
        self._most_loaded[name] = max(most, len(engine.loaded))
        for model in engine.loaded ^ (before or frozenset()):
            self._changed_ms.setdefault((name, model), now_ms)
            if before is not None and (name, model) not in self._open:
                self._changed_ms[name, model] = now_ms
        for model in self._list_open(name, LOAD) | self._list_open(name, UNLOAD):
            change = self._open[name, model]
            is_there = model in engine.loaded
            if engine.as_of_ms > change.sent_ms and is_there == (change.verb == LOAD):
                del self._open[name, model]
                self._failures.pop(name, None)

    def _drop_overdue(self, now_ms: int) -> None:
        settings = self._settings
        for (endpoint, model), change in list(self._open.items()):
            is_load = change.verb == LOAD
            timeout_ms = settings.load_timeout_ms
            if not is_load:
                timeout_ms = settings.unload_timeout_ms
            if now_ms - change.sent_ms >= timeout_ms:
                del self._open[endpoint, model]
                self._bar(endpoint, model, now_ms)
                if not is_load:
                    self.release(endpoint)
        for endpoint, held in list(self._reservations.items()):
            if now_ms - held.since_ms >= settings.unload_timeout_ms:
                self.release(endpoint)

    def _forget_open(self, endpoint: str) -> None:
        """Expect nothing more of an engine that is taken for dead."""
        self.release(endpoint)
        for key in [key for key in self._open if key[0] == endpoint]:
            del self._open[key]

    def _drop_missing(self, names: set[str]) -> None:
        tables = (self._loaded, self._most_loaded, self._reservations, self._failures)
        for known in tables:
            for name in [name for name in known if name not in names]:
                del known[name]  # type: ignore[attr-defined]
        for table in (self._open, self._changed_ms, self._barred_until_ms):
            for key in [key for key in table if key[0] not in names]:
                del table[key]  # type: ignore[attr-defined]

    def _bar(self, endpoint: str, model: str, now_ms: int) -> None:
        """Order this no more for a while, the longer the more has failed there.

        An engine that takes no orders at all would otherwise use up the weight
        store's rate, and fill the audit trail, for as long as a model lacks.
        """
        failures = self._failures.get(endpoint, 0)
        self._failures[endpoint] = failures + 1
        wait_ms = self._settings.retry_ms * 2 ** min(failures, MAX_DOUBLINGS)
        self._barred_until_ms[endpoint, model] = now_ms + wait_ms
        self._changed_ms.pop((endpoint, model), None)

    def _list_open(self, endpoint: str, verb: str) -> set[str]:
        return {
            model
            for (name, model), change in self._open.items()
            if name == endpoint and change.verb == verb
        }
