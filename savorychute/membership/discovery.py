"""Which instances an organisation's callers use."""

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
    """Return where callers of an organisation are to connect.

    Each organisation has few instances of its own choice among all (shuffle
    sharding), so one organisation's burst or a request that kills its instance
    leaves most other organisations alone.  They are in the region of this
    instance, in different failure domains, in random order; after them come
    some of other regions for the loss of this region.

    :param organisation: the organisation's name.
    :param view: the members; suspects and leaving ones are left out.
    :param settings: numbers of seats and lifetimes.
    :param rng: draws the order, who is passed over, and the lifetime.
    :param seats: how many instances the organisation gets; raised to
        ``min_seats`` of the settings.
    :param loads: how busy the region's instances are, as far as known.
    """
    usable = [m for m in view.alive if m.instance not in view.suspects]
    near = [m for m in usable if m.region == view.own.region]
    far = [m for m in usable if m.region != view.own.region]
    count = min(len(near), max(settings.min_seats, seats))
    ranked = choose_homes(organisation, near, len(near))
    mean = _mean_load(near, loads or {})
    chosen = _pass_over_busy(ranked, count, settings, loads or {}, mean, rng)
    rng.shuffle(chosen)
    chosen.extend(choose_homes(organisation, far, _count_far(settings, len(chosen))))
    lifetime_ms = rng.randint(settings.min_lifetime_ms, settings.max_lifetime_ms)
    return DiscoveryAnswer(tuple(chosen), lifetime_ms)


def _pass_over_busy(
    ranked: Sequence[MemberAddress],
    count: int,
    settings: DiscoverySettings,
    loads: Mapping[str, int],
    mean: float,
    rng: Random,
) -> list[MemberAddress]:
    """Take the first members, passing over those that are far above the mean.

    An instance with a load of L times the mean is passed over with probability
    1 - 1/L, which brings it back to the mean when all answers are renewed; a
    hard bound would make all callers leave at once and come back at once.
    """
    chosen: list[MemberAddress] = []
    passed: list[MemberAddress] = []
    for member in ranked:
        if len(chosen) == count:
            break
        load = loads.get(member.instance, 0)
        is_busy = load > mean * settings.busy_ratio
        if is_busy and rng.random() > mean / load:
            passed.append(member)
        else:
            chosen.append(member)
    return chosen + passed[: count - len(chosen)]


def _mean_load(members: Sequence[MemberAddress], loads: Mapping[str, int]) -> float:
    known = [loads[m.instance] for m in members if m.instance in loads]
    return sum(known) / len(known) if known else 0.0


def _count_far(settings: DiscoverySettings, near_seats: int) -> int:
    return settings.far_seats + max(0, settings.min_seats - near_seats)
