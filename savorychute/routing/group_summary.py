"""Current figures over the endpoints of a group."""

from __future__ import annotations

from typing import NamedTuple


class GroupSummary(NamedTuple):
    """Figures over all endpoints that serve the same.

    ``mean_peer_requests`` is the mean load by other instances, in requests.
    ``own_weight`` is the weight of an own request relative to a reported one.
    The other instances do not know of it and behave alike, so where this
    instance has one request more than elsewhere, each of the others is likely
    to have one more too before the next report.  The weight is 1 for the only
    instance.
    """

    median_step_ms: float
    mean_peer_requests: float
    own_weight: float
