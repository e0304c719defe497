"""The result of an order."""

from __future__ import annotations

from typing import NamedTuple


class OrderResult(NamedTuple):
    """The result of an order.

    ``outcome`` is ``done``, ``fenced``, ``refused``, ``not-held`` (not sent, because
    the lease is not held) or ``unknown``.  ``late`` marks an order that corrects the
    effect of an old order.
    """

    order_id: str
    lease: str
    endpoint: str
    verb: str
    target: str
    fencing: int
    outcome: str
    why: str
    late: bool = False
