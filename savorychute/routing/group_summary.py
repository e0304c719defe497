"""What the endpoints of a group have in common at present."""

from __future__ import annotations

from typing import NamedTuple


class GroupSummary(NamedTuple):
    """Figures over all endpoints that serve the same.

    ``mean_others`` is the mean load by other instances, in requests.
    ``own_weight`` is what an own request counts against one of a report: the
    other instances cannot see it and behave alike, so where this instance has
    one request more than elsewhere, each of the others is likely to have one
    more too before the next report.  Alone, an instance counts 1.
    """

    median_step_ms: float
    mean_others: float
    own_weight: float
