"""Pending changes, and the time of the last change of each engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.leases.order_request import LOAD, UNLOAD

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.placement.engine_state import EngineState
    from savorychute.placement.placement_order import PlacementOrder
    from savorychute.placement.settings import PlacementSettings

NEVER_REPORTED_MS = -1
MAX_DOUBLINGS = 7


class OpenChange(NamedTuple):
    """An order whose effect no report shows yet."""

    verb: str
    sent_ms: int


class Reservation(NamedTuple):
    """A model that is to be loaded as soon as an engine has free capacity."""

    model: str
    since_ms: int


class ChangeLog:
    """Tracks changes that were ordered and that no report shows yet.

    Reports are delayed.  Until a report that was made after an order shows the
    effect of the order, a model that is being unloaded counts as gone and one
    that is being loaded as not ready; either error is on the safe side.

    :param settings: timeouts and dwell times.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._open_changes: dict[tuple[str, str], OpenChange] = {}
        self._changed_ms: dict[tuple[str, str], int] = {}
        self._blocked_until_ms: dict[tuple[str, str], int] = {}
        self._failures: dict[str, int] = {}
        self._reservations: dict[str, Reservation] = {}
        self._loaded: dict[str, frozenset[str]] = {}
        self._max_loaded: dict[str, int] = {}

    def reconcile(self, engines: Iterable[EngineState], now_ms: int) -> None:
        """Compare open changes with new reports, and drop overdue ones.

        :param engines: all engines of the region.
        """
        names = set()
        for engine in engines:
            names.add(engine.endpoint)
            if engine.as_of_ms == NEVER_REPORTED_MS:
                continue
            self._reconcile_report(engine, now_ms)
            if now_ms - engine.as_of_ms > self._settings.forget_ms:
                self._discard_open_changes(engine.endpoint)
        self._drop_overdue(now_ms)
        self._drop_removed_engines(names)

    def record_order(self, order: PlacementOrder, now_ms: int) -> None:
        """Record an order that is sent.

        :param order: the order.
        """
        key = (order.endpoint, order.target)
        self._open_changes[key] = OpenChange(order.verb, now_ms)
        self._changed_ms[key] = now_ms

    def record_refusal(self, endpoint: str, target: str, now_ms: int) -> None:
        """Record that an order certainly had no effect.

        :param endpoint: the engine that refused it.
        :param target: the model.
        """
        change = self._open_changes.pop((endpoint, target), None)
        if change is None:
            return
        self._block(endpoint, target, now_ms)
        if change.verb == UNLOAD:
            self.release(endpoint)

    def reserve(self, endpoint: str, model: str, now_ms: int) -> None:
        """Reserve the capacity that an unload frees for a model."""
        self._reservations[endpoint] = Reservation(model, now_ms)

    def release(self, endpoint: str) -> None:
        """Cancel the reservation at an engine."""
        self._reservations.pop(endpoint, None)

    def reservations(self) -> list[tuple[str, str]]:
        """Return engines with the model that waits for free capacity there."""
        return [
            (name, reservation.model)
            for name, reservation in self._reservations.items()
        ]

    def incoming_models(self, endpoint: str) -> set[str]:
        """Return the models that are being loaded or have a reservation there."""
        models = self._list_open_models(endpoint, LOAD)
        reservation = self._reservations.get(endpoint)
        if reservation is not None:
            models.add(reservation.model)
        return models

    def outgoing_models(self, endpoint: str) -> set[str]:
        """Return the models that are being unloaded at an engine."""
        return self._list_open_models(endpoint, UNLOAD)

    @property
    def pending_loads(self) -> int:
        """The number of open loads and of reservations."""
        loads = sum(change.verb == LOAD for change in self._open_changes.values())
        return loads + len(self._reservations)

    def max_models(self, endpoint: str) -> int:
        """Return how many models an engine can hold.

        It is the configured number, or the most that a report showed.
        """
        reported = self._max_loaded.get(endpoint, 0)
        return max(self._settings.models_per_engine, reported)

    def can_change(self, endpoint: str, model: str, now_ms: int) -> bool:
        """Return whether the dwell time since the last change has elapsed.

        Also false while a change is open, or until a failed change may be
        retried.
        """
        key = (endpoint, model)
        if key in self._open_changes or now_ms < self._blocked_until_ms.get(
            key, now_ms
        ):
            return False
        changed_ms = self._changed_ms.get(key)
        if changed_ms is None:
            return True
        return now_ms - changed_ms >= self._settings.min_dwell_ms

    def _reconcile_report(self, engine: EngineState, now_ms: int) -> None:
        name = engine.endpoint
        previous = self._loaded.get(name)
        self._loaded[name] = engine.loaded
        max_loaded = self._max_loaded.get(name, 0)
        self._max_loaded[name] = max(max_loaded, len(engine.loaded))
        for model in engine.loaded ^ (previous or frozenset()):
            self._changed_ms.setdefault((name, model), now_ms)
            if previous is not None and (name, model) not in self._open_changes:
                self._changed_ms[name, model] = now_ms
        for model in self._list_open_models(name, LOAD) | self._list_open_models(
            name, UNLOAD
        ):
            change = self._open_changes[name, model]
            is_loaded = model in engine.loaded
            if engine.as_of_ms > change.sent_ms and is_loaded == (change.verb == LOAD):
                del self._open_changes[name, model]
                self._failures.pop(name, None)

    def _drop_overdue(self, now_ms: int) -> None:
        settings = self._settings
        for (endpoint, model), change in list(self._open_changes.items()):
            is_load = change.verb == LOAD
            timeout_ms = settings.load_timeout_ms
            if not is_load:
                timeout_ms = settings.unload_timeout_ms
            if now_ms - change.sent_ms >= timeout_ms:
                del self._open_changes[endpoint, model]
                self._block(endpoint, model, now_ms)
                if not is_load:
                    self.release(endpoint)
        for endpoint, reservation in list(self._reservations.items()):
            if now_ms - reservation.since_ms >= settings.unload_timeout_ms:
                self.release(endpoint)

    def _discard_open_changes(self, endpoint: str) -> None:
        """Discard the open changes of an engine that is considered dead."""
        self.release(endpoint)
        for key in [key for key in self._open_changes if key[0] == endpoint]:
            del self._open_changes[key]

    def _drop_removed_engines(self, names: set[str]) -> None:
        engine_tables = (
            self._loaded,
            self._max_loaded,
            self._reservations,
            self._failures,
        )
        for engine_table in engine_tables:
            for name in [name for name in engine_table if name not in names]:
                del engine_table[name]  # type: ignore[attr-defined]
        for change_table in (
            self._open_changes,
            self._changed_ms,
            self._blocked_until_ms,
        ):
            for key in [key for key in change_table if key[0] not in names]:
                del change_table[key]  # type: ignore[attr-defined]

    def _block(self, endpoint: str, model: str, now_ms: int) -> None:
        """Block this change for a delay that doubles with each failure there.

        An engine that refuses all orders would otherwise use up the rate of the
        weight store, and fill the audit trail, while a model is short of
        replicas.
        """
        failures = self._failures.get(endpoint, 0)
        self._failures[endpoint] = failures + 1
        delay_ms = self._settings.retry_ms * 2 ** min(failures, MAX_DOUBLINGS)
        self._blocked_until_ms[endpoint, model] = now_ms + delay_ms
        self._changed_ms.pop((endpoint, model), None)

    def _list_open_models(self, endpoint: str, verb: str) -> set[str]:
        return {
            model
            for (name, model), change in self._open_changes.items()
            if name == endpoint and change.verb == verb
        }
