"""Handling of orders by a stand-in engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.testing.weight_store import WeightStore


class EngineOrder(NamedTuple):
    """An order: ``load``, ``unload`` or ``role``, with a fencing number."""

    verb: str
    target: str
    fencing: int
    expected_state: str = ''


class EngineOrderHandler:
    """The models and the role of an engine, which orders change.

    :param models: the models loaded at the start.
    :param checks_fencing: whether an old fencing number is refused.
    :param weight_store: the source of models, shared by all engines.
    """

    def __init__(
        self, models: tuple[str, ...], checks_fencing: bool, weight_store: WeightStore
    ) -> None:
        self.checks_fencing = checks_fencing
        self.role = 'both'
        self.highest_fencing = -1
        self.stale_orders = 0
        self._weight_store = weight_store
        self._models = dict.fromkeys(models, 0.0)

    def models(self, now_ms: float) -> tuple[str, ...]:
        """Return the models that are ready."""
        return tuple(
            name for name, ready_ms in self._models.items() if ready_ms <= now_ms
        )

    def state(self, now_ms: float) -> str:
        """Return the state that an order's ``expected_state`` is compared with.

        It contains what a load report shows, in the format of
        :class:`savorychute.actions.SendOrder`; reports do not include the role.
        """
        return ','.join(sorted(self.models(now_ms)))

    def handle(self, order: EngineOrder, now_ms: float) -> str:
        """Execute an order and return ``done``, ``fenced`` or ``refused``."""
        if order.fencing < self.highest_fencing:
            self.stale_orders += 1
            if self.checks_fencing:
                return 'fenced'
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        if order.expected_state and order.expected_state != self.state(now_ms):
            return 'refused'
        return self._apply(order, now_ms)

    def _apply(self, order: EngineOrder, now_ms: float) -> str:
        if order.verb == 'load':
            if order.target not in self._models:
                self._models[order.target] = self._weight_store.fetch(now_ms)
        elif order.verb == 'unload':
            self._models.pop(order.target, None)
        elif order.verb == 'role':
            self.role = order.target
        else:
            return 'refused'
        return 'done'
