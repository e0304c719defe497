"""Order an engine to change."""

from __future__ import annotations

from typing import NamedTuple


class SendOrder(NamedTuple):
    """Send an order with its fencing number; answered by ``OrderFinished``.

    ``verb`` is ``load``, ``unload`` or ``role``; ``target`` is the model,
    adapter, version or role.  ``expected_state`` is the state that was read
    back before, as sorted models joined by commas.  A host that is not about
    to write the first byte before ``send_before_ms`` of the instance's clock
    drops the order and answers ``refused``: the lease behind it has lapsed.
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
