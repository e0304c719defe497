"""How a group's capacity is divided between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

NOTHING_PRESSING = -1


class Division(NamedTuple):
    """Each instance's part, what is left, and the highest unmet tier."""

    parts: dict[str, int]
    left: int
    pressing_tier: int


def divide_by_tier(
    capacity: int,
    wants: Mapping[str, Sequence[int]],
    reserve: int,
    hungry: Sequence[str],
) -> Division:
    """Divide *capacity* tier by tier, equally between equal wants.

    :param capacity: what there is.
    :param wants: by instance, how much of each tier.
    :param reserve: how much is kept for instances that would get nothing.
    :param hungry: instances in the order in which the reserve serves them.
    """
    parts = dict.fromkeys(wants, 0)
    total = sum(sum(by_tier) for by_tier in wants.values())
    if total <= capacity:
        met = {instance: sum(by_tier) for instance, by_tier in wants.items()}
        return Division(met, capacity - total, NOTHING_PRESSING)
    reserve = min(reserve, capacity)
    left = _fill_tiers(parts, wants, capacity - reserve) + reserve
    for instance in hungry:
        if left > 0 and parts[instance] == 0 < sum(wants[instance]):
            parts[instance] = 1
            left -= 1
    left = _fill_tiers(parts, wants, left)
    return Division(parts, left, _find_unmet_tier(parts, wants))


def divide_equally(total: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Return the max-min fair division of *total* in whole units.

    :param total: what there is.
    :param wants: the most that each takes.
    """
    given: dict[str, int] = {}
    for position, instance in enumerate(sorted(wants, key=lambda i: wants[i])):
        given[instance] = min(wants[instance], total // (len(wants) - position))
        total -= given[instance]
    return given


def spread_over_endpoints(
    parts: Mapping[str, int], capacities: Mapping[int, int]
) -> dict[str, dict[int, int]]:
    """Return levels by instance and endpoint, in proportion to capacities.

    Rounding is carried from one endpoint to the next, so that an instance's
    levels add up to its part, and no endpoint's exceed its capacity.

    :param parts: by instance, together no more than the capacities.
    :param capacities: by endpoint.
    """
    levels: dict[str, dict[int, int]] = {instance: {} for instance in parts}
    total = sum(capacities.values())
    carried = dict.fromkeys(parts, 0.0)
    owed = 0.0
    for endpoint, capacity in capacities.items():
        quotas = {
            instance: part * capacity / total + carried[instance]
            for instance, part in parts.items()
        }
        owed += sum(parts.values()) * capacity / total
        units = min(capacity, round(owed))
        owed -= units
        for instance, amount in _round_quotas(quotas, units).items():
            levels[instance][endpoint] = amount
            carried[instance] = quotas[instance] - amount
    return levels


def _round_quotas(quotas: Mapping[str, float], units: int) -> dict[str, int]:
    given = {instance: max(0, int(quota)) for instance, quota in quotas.items()}
    excess = sum(given.values()) - units
    by_remainder = sorted(quotas, key=lambda i: quotas[i] - given[i], reverse=True)
    for instance in by_remainder[: max(0, -excess)]:
        given[instance] += 1
    for instance in reversed(by_remainder):
        if excess <= 0:
            break
        if given[instance] > 0:
            given[instance] -= 1
            excess -= 1
    return given


def _fill_tiers(
    parts: dict[str, int], wants: Mapping[str, Sequence[int]], left: int
) -> int:
    """Give out *left* on top of *parts*, tier by tier; return the rest."""
    met = dict(parts)
    for tier in range(max(map(len, wants.values()))):
        unmet: dict[str, int] = {}
        for instance, by_tier in wants.items():
            wanted = by_tier[tier] if tier < len(by_tier) else 0
            covered = min(wanted, met[instance])
            met[instance] -= covered
            if wanted > covered:
                unmet[instance] = wanted - covered
        for instance, amount in divide_equally(left, unmet).items():
            parts[instance] += amount
            left -= amount
    return left


def _find_unmet_tier(
    parts: Mapping[str, int], wants: Mapping[str, Sequence[int]]
) -> int:
    """Return the highest tier of which somebody lacks something."""
    lacking = []
    for instance, by_tier in wants.items():
        left = parts[instance]
        for tier, wanted in enumerate(by_tier):
            if wanted > left:
                lacking.append(tier)
                break
            left -= wanted
    return min(lacking, default=NOTHING_PRESSING)
