"""Settings of credits."""

from __future__ import annotations

from typing import NamedTuple


class CreditSettings(NamedTuple):
    """Durations and sizes of credits.

    ``subset_size`` is how many endpoints of a pool an instance uses at most,
    ``group_size`` how many endpoints share a home.  A grant lasts ``grant_ms``
    from the report that it answers: longer than it takes to detect the death of
    a home.  ``float_share`` of the spare capacity
    stays with the home, to answer sudden demand without a reclaim.
    ``guaranteed_share`` of a group goes to instances whose lower-tier work
    would get nothing.  A home that sees a minority of the members of the last
    ``remember_ms`` scales the capacity down.

    Regular reports come every ``report_interval_ms``, or seldomer if a group has so
    many users that its home would get more than ``reports_per_s``, but at least
    three times in the life of a grant.

    Demand of a new highest tier is reported after ``pressure_interval_ms``,
    demand that has grown after ``growth_interval_ms``.
    """

    subset_size: int = 16
    group_size: int = 16
    grant_ms: int = 6_000
    ask_interval_ms: int = 250
    report_interval_ms: int = 1_000
    reports_per_s: int = 33
    idle_report_interval_ms: int = 2_000
    pressure_interval_ms: int = 50
    growth_interval_ms: int = 250
    owing_interval_ms: int = 250
    pushes_per_s: int = 20
    push_retry_ms: int = 250
    division_interval_ms: int = 1_000
    urgent_division_interval_ms: int = 20
    demand_memory_ms: int = 2_000
    float_share: float = 0.25
    guaranteed_share: float = 0.05
    survival_share: float = 0.5
    remember_ms: int = 120_000
