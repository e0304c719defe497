"""A change of one engine that a planner orders."""

from __future__ import annotations

from typing import NamedTuple


class PlacementOrder(NamedTuple):
    """An order to be sent under the region's lease.

    ``verb`` is ``load`` or ``unload``, ``target`` a model, adapter or version,
    and ``why`` the reason for the audit trail.
    """

    endpoint: str
    verb: str
    target: str
    why: str
