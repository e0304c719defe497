"""How an order ended."""

from __future__ import annotations

from typing import NamedTuple


class OrderResult(NamedTuple):
    """The end of an order.

    ``outcome`` is ``done``, ``fenced``, ``refused``, ``not-held`` (never sent,
    because the lease is not held) or ``unknown``.  ``late`` says that the order
    put right what an old one had changed.
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
