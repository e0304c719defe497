"""A requested change of an engine."""

from __future__ import annotations

from typing import NamedTuple

LOAD = 'load'
UNLOAD = 'unload'
ROLE = 'role'


class OrderRequest(NamedTuple):
    """A change that a lease holder requests of an endpoint.

    ``verb`` is ``load``, ``unload`` or ``role``; ``target`` is the model,
    adapter, version or role; ``why`` is for the audit trail.  With ``resend``
    the order is sent again when its effect is missing from later reports.  A
    sender that compares reports with a plan of its own sets it to false: a load
    takes minutes to appear in reports, and the plan decides what is ordered next.
    """

    order_id: str
    lease: str
    endpoint: str
    verb: str
    target: str
    why: str
    resend: bool = True
