"""A wanted change of an engine."""

from __future__ import annotations

from typing import NamedTuple

LOAD = 'load'
UNLOAD = 'unload'
ROLE = 'role'


class OrderRequest(NamedTuple):
    """What a lease holder wants of an endpoint.

    ``verb`` is ``load``, ``unload`` or ``role``; ``target`` is the model,
    adapter, version or role; ``why`` is for the audit trail.
    """

    order_id: str
    lease: str
    endpoint: str
    verb: str
    target: str
    why: str
