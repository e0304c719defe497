"""The outcome of an order to an engine."""

from __future__ import annotations

from typing import NamedTuple


class OrderFinished(NamedTuple):
    """An order has ended: ``done``, ``fenced``, ``refused`` or ``unknown``."""

    order_id: str
    endpoint: str
    outcome: str
