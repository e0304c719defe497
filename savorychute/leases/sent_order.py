"""An order that was sent."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.leases.order_request import OrderRequest  # noqa: TC001


class SentOrder(NamedTuple):
    """An order with its fencing number and times.

    ``completed_ms`` is when it was answered or timed out, and 0 before.
    ``took_effect`` is whether the response or a later report shows its effect.
    ``late`` marks an order that corrects the effect of an old order.
    """

    request: OrderRequest
    fencing: int
    sent_ms: int
    late: bool
    completed_ms: int = 0
    took_effect: bool = False
