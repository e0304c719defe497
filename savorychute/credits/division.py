"""Division of a group's capacity between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

NO_PRESSING_TIER = -1


class Division(NamedTuple):
    """Part of each instance, the remaining capacity, and the highest unmet tier."""

    parts: dict[str, int]
    remaining: int
    pressing_tier: int


def divide_by_tier(
    capacity: int,
    demands: Mapping[str, Sequence[int]],
    reserve: int,
    reserve_order: Sequence[str],
) -> Division:
    """Divide *capacity* tier by tier, equally between equal demands.

    :param capacity: capacity to divide.
    :param demands: demand for each tier, by instance.
    :param reserve: capacity reserved for instances that would get nothing.
    :param reserve_order: instances in the order in which they receive the reserve.
    """
    parts = dict.fromkeys(demands, 0)
    total = sum(sum(by_tier) for by_tier in demands.values())
    if total <= capacity:
        full_parts = {instance: sum(by_tier) for instance, by_tier in demands.items()}
        return Division(full_parts, capacity - total, NO_PRESSING_TIER)
    reserve = min(reserve, capacity)
    remaining = _fill_tiers(parts, demands, capacity - reserve) + reserve
    for instance in reserve_order:
        if remaining > 0 and parts[instance] == 0 < sum(demands[instance]):
            parts[instance] = 1
            remaining -= 1
    remaining = _fill_tiers(parts, demands, remaining)
    return Division(parts, remaining, _find_unmet_tier(parts, demands))


def divide_equally(total: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the max-min fair division of *total* in whole units.

    :param total: number of units to divide.
    :param demands: the most that each instance can use.
    """
    assigned: dict[str, int] = {}
    for position, instance in enumerate(sorted(demands, key=lambda i: demands[i])):
        assigned[instance] = min(demands[instance], total // (len(demands) - position))
        total -= assigned[instance]
    return assigned


def spread_over_endpoints(
    parts: Mapping[str, int], capacities: Mapping[int, int]
) -> dict[str, dict[int, int]]:
    """Return levels by instance and endpoint, in proportion to capacities.

    Rounding errors are carried from one endpoint to the next, so that an instance's
    levels add up to its part, and those of an endpoint do not exceed its capacity.

    :param parts: parts by instance, which together do not exceed the capacities.
    :param capacities: capacities by endpoint.
    """
    levels: dict[str, dict[int, int]] = {instance: {} for instance in parts}
    total = sum(capacities.values())
    carried = dict.fromkeys(parts, 0.0)
    due = 0.0
    for endpoint, capacity in capacities.items():
        quotas = {
            instance: part * capacity / total + carried[instance]
            for instance, part in parts.items()
        }
        due += sum(parts.values()) * capacity / total
        units = min(capacity, round(due))
        due -= units
        for instance, amount in _round_quotas(quotas, units).items():
            levels[instance][endpoint] = amount
            carried[instance] = quotas[instance] - amount
    return levels


def _round_quotas(quotas: Mapping[str, float], units: int) -> dict[str, int]:
    assigned = {instance: max(0, int(quota)) for instance, quota in quotas.items()}
    excess = sum(assigned.values()) - units
    by_remainder = sorted(quotas, key=lambda i: quotas[i] - assigned[i], reverse=True)
    for instance in by_remainder[: max(0, -excess)]:
        assigned[instance] += 1
    for instance in reversed(by_remainder):
        if excess <= 0:
            break
        if assigned[instance] > 0:
            assigned[instance] -= 1
            excess -= 1
    return assigned


def _fill_tiers(
    parts: dict[str, int], demands: Mapping[str, Sequence[int]], remaining: int
) -> int:
    """Add *remaining* to *parts*, tier by tier; return what is not used."""
    uncovered = dict(parts)
    for tier in range(max(map(len, demands.values()))):
        unmet: dict[str, int] = {}
        for instance, by_tier in demands.items():
            wanted = by_tier[tier] if tier < len(by_tier) else 0
            covered = min(wanted, uncovered[instance])
            uncovered[instance] -= covered
            if wanted > covered:
                unmet[instance] = wanted - covered
        for instance, amount in divide_equally(remaining, unmet).items():
            parts[instance] += amount
            remaining -= amount
    return remaining


def _find_unmet_tier(
    parts: Mapping[str, int], demands: Mapping[str, Sequence[int]]
) -> int:
    """Return the highest tier in which an instance lacks capacity."""
    lacking = []
    for instance, by_tier in demands.items():
        remaining = parts[instance]
        for tier, wanted in enumerate(by_tier):
            if wanted > remaining:
                lacking.append(tier)
                break
            remaining -= wanted
    return min(lacking, default=NO_PRESSING_TIER)
