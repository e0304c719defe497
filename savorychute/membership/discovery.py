"""Which instances a customer's callers use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.membership.discovery_answer import DiscoveryAnswer
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from random import Random

    from savorychute.membership.discovery_settings import DiscoverySettings
    from savorychute.membership.member_view import MemberView


def answer_discovery(
    customer: str,
    view: MemberView,
    settings: DiscoverySettings,
    rng: Random,
    seats: int = 0,
) -> DiscoveryAnswer:
    """Return where callers of a customer are to connect.

    Each customer has few instances of its own choice among all (shuffle
    sharding), so one customer's burst or a request that kills its instance
    leaves most other customers alone.  They are in the region of this
    instance, in different failure domains, in random order; after them come
    some of other regions for the loss of this region.

    :param customer: the customer's name.
    :param view: the members; suspects and leaving ones are left out.
    :param settings: numbers of seats and lifetimes.
    :param rng: draws the order and the lifetime.
    :param seats: how many instances the customer gets; raised to
        ``min_seats`` of the settings.
    """
    usable = [m for m in view.alive if m.instance not in view.suspects]
    near = [m for m in usable if m.region == view.own.region]
    far = [m for m in usable if m.region != view.own.region]
    chosen = list(choose_homes(customer, near, max(settings.min_seats, seats)))
    rng.shuffle(chosen)
    chosen.extend(choose_homes(customer, far, _count_far(settings, len(chosen))))
    lifetime_ms = rng.randint(settings.min_lifetime_ms, settings.max_lifetime_ms)
    return DiscoveryAnswer(tuple(chosen), lifetime_ms)


def _count_far(settings: DiscoverySettings, near_seats: int) -> int:
    return settings.far_seats + max(0, settings.min_seats - near_seats)
