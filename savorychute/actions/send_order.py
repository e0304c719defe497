"""Send an order to an engine."""

from __future__ import annotations

from typing import NamedTuple


class SendOrder(NamedTuple):
    """Send an order with its fencing number; the host delivers ``OrderFinished``.

    ``verb`` is ``load``, ``unload`` or ``role``; ``target`` is the model,
    adapter, version or role.  ``expected_state`` is the engine's state when it
    was read last, as sorted models joined by commas.  A host that can't write
    the first byte before ``send_before_ms`` of the instance's clock drops the
    order and delivers the outcome ``refused``, because the lease has expired.
    """

    order_id: str
    endpoint: str
    host: str
    port: int
    verb: str
    target: str
    fencing: int
    expected_state: str
    send_before_ms: int = 0
