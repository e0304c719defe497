"""Current figures over the endpoints of a group."""

from __future__ import annotations

from typing import NamedTuple


class GroupSummary(NamedTuple):
    """Figures over all endpoints that serve the same requests.

    ``mean_peer_requests`` is the mean load by other instances, in requests.
    ``own_weight`` is the weight of a request of this instance relative to a
    reported one.  The other instances do not know of it and behave the same, so
    where this instance has one request more than elsewhere, each of the others
    probably has one more too before the next report.  The weight is 1 for the only
    instance.
    """

    median_step_ms: float
    mean_peer_requests: float
    own_weight: float
