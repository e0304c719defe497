"""An order that was sent."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.leases.order_request import OrderRequest  # noqa: TC001


class SentOrder(NamedTuple):
    """An order with its fencing number and times.

    ``settled_ms`` is when it was answered or given up, 0 before; ``took_effect``
    whether the answer or a later report shows its effect.  ``late`` says that
    it puts right what an old order had changed.
    """

    request: OrderRequest
    fencing: int
    sent_ms: int
    late: bool
    settled_ms: int = 0
    took_effect: bool = False
