"""Selection of the instances that an organisation's callers connect to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.discovery_answer import DiscoveryAnswer
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from savorychute.member_address import MemberAddress
    from savorychute.membership.discovery_settings import DiscoverySettings
    from savorychute.membership.member_view import MemberView


def answer_discovery(
    organisation: str,
    view: MemberView,
    settings: DiscoverySettings,
    rng: Random,
    seats: int = 0,
    loads: Mapping[str, int] | None = None,
) -> DiscoveryAnswer:
    """Return the instances that an organisation's callers should connect to.

    Each organisation is assigned its own small subset of all instances (shuffle
    sharding), so one organisation's burst, or a request that crashes its instance,
    does not affect most other organisations.  The subset lies in the region of
    this instance, in different failure domains and in random order; it is followed
    by some instances of other regions in case this region is lost.

    :param organisation: the organisation's name.
    :param view: the members; suspected and leaving ones are left out.
    :param settings: numbers of seats and lifetimes.
    :param rng: draws the order, the busy instances to skip, and the lifetime.
    :param seats: how many instances the organisation gets; raised to
        ``min_seats`` of the settings.
    :param loads: the known loads of the region's instances.
    """
    usable_members = [m for m in view.alive if m.instance not in view.suspects]
    local_members = [m for m in usable_members if m.region == view.own.region]
    remote_members = [m for m in usable_members if m.region != view.own.region]
    count = min(len(local_members), max(settings.min_seats, seats))
    ranked = choose_homes(organisation, local_members, len(local_members))
    mean_load = _mean_load(local_members, loads or {})
    chosen = _skip_busy(ranked, count, settings, loads or {}, mean_load, rng)
    rng.shuffle(chosen)
    chosen.extend(
        choose_homes(organisation, remote_members, _count_remote(settings, len(chosen)))
    )
    lifetime_ms = rng.randint(settings.min_lifetime_ms, settings.max_lifetime_ms)
    return DiscoveryAnswer(tuple(chosen), lifetime_ms)


def _skip_busy(
    ranked: Sequence[MemberAddress],
    count: int,
    settings: DiscoverySettings,
    loads: Mapping[str, int],
    mean_load: float,
    rng: Random,
) -> list[MemberAddress]:
    """Return the first members, skipping some whose load is far above the mean.

    An instance with a load of L times the mean is skipped with probability
    1 - 1/L, which brings it back to the mean once all responses are renewed.  A
    hard threshold would make all callers leave at once and return at once.
    """
    chosen: list[MemberAddress] = []
    skipped: list[MemberAddress] = []
    for member in ranked:
        if len(chosen) == count:
            break
        load = loads.get(member.instance, 0)
        is_busy = load > mean_load * settings.busy_ratio
        if is_busy and rng.random() > mean_load / load:
            skipped.append(member)
        else:
            chosen.append(member)
    return chosen + skipped[: count - len(chosen)]


def _mean_load(members: Sequence[MemberAddress], loads: Mapping[str, int]) -> float:
    known_loads = [loads[m.instance] for m in members if m.instance in loads]
    return sum(known_loads) / len(known_loads) if known_loads else 0.0


def _count_remote(settings: DiscoverySettings, local_seats: int) -> int:
    return settings.far_seats + max(0, settings.min_seats - local_seats)
