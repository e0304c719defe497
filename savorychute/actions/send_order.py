"""Order an engine to change."""

from __future__ import annotations

from typing import NamedTuple


class SendOrder(NamedTuple):
    """Send an order with its fencing number; answered by ``OrderFinished``.

    ``verb`` is ``load``, ``unload`` or ``role``; ``target`` is the model,
    adapter, version or role.
    """

    order_id: str
    endpoint: str
    host: str
    port: int
    verb: str
    target: str
    fencing: int
    expected_state: str
