"""A wanted change of an engine."""

from __future__ import annotations

from typing import NamedTuple

LOAD = 'load'
UNLOAD = 'unload'
ROLE = 'role'


class OrderRequest(NamedTuple):
    """What a lease holder wants of an endpoint.

    ``verb`` is ``load``, ``unload`` or ``role``; ``target`` is the model,
    adapter, version or role; ``why`` is for the audit trail.  With ``repeat``
    the order is sent again when its effect is gone or does not show.  Who
    compares reports with a plan of its own says no: a load takes minutes to
    show, and the plan decides what is ordered next.
    """

    order_id: str
    lease: str
    endpoint: str
    verb: str
    target: str
    why: str
    repeat: bool = True
