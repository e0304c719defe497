"""Settings of credits."""

from __future__ import annotations

from typing import NamedTuple


class CreditSettings(NamedTuple):
    """Durations and sizes of credits.

    ``subset_size`` is the largest number of endpoints of a pool that an instance uses,
    ``group_size`` the number of endpoints that share a home.  A grant is valid for
    ``grant_ms`` from the report that it responds to, which is longer than it takes to
    detect the death of a home.  If a home is alive but does not respond, the members
    together may use ``survival_share`` of the capacity.  ``float_share`` of the spare
    capacity remains with the home, which can then meet sudden demand without reclaiming
    credit.  ``guaranteed_share`` of a group is reserved for instances whose lower-tier
    work would get nothing.  A home that sees a minority of the members of the last
    ``remember_ms`` scales the capacity down.

    Regular reports are sent every ``report_interval_ms``, or less often if a group has
    so many users that its home would receive more than ``reports_per_s``, but at least
    three times in the duration of a grant.

    Demand of a new highest tier is reported after ``pressure_interval_ms``, grown
    demand after ``growth_interval_ms``, and reclaimed credit that has become free after
    ``owing_interval_ms``.  An instance that has recently used a group reports it every
    ``idle_report_interval_ms``.  A home requests missing reports every
    ``ask_interval_ms``, and sends up to ``pushes_per_s`` grants that respond to no new
    report; those above that rate are considered again after ``push_retry_ms``.

    A home divides the capacity every ``division_interval_ms``, or after
    ``urgent_division_interval_ms`` if demand has grown, or if credit has become free
    while a tier lacks capacity.  Demand of a pool that is not reported again is dropped
    after ``demand_memory_ms``.
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
