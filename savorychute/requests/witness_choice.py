"""Chooses the witnesses of the keys of an issuer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

WITNESS_COUNT = 2


def choose_witnesses(
    own: MemberAddress, view: MemberView, unresponsive: Collection[str] = ()
) -> tuple[MemberAddress, ...]:
    """Return up to two witnesses, the same ones as long as both are alive.

    Instances in the same region and another failure domain are preferred: they are
    near enough for a round trip on the request path and unlikely to fail together
    with the issuer.  Few, stable witnesses limit the number of pairs of instances
    that exchange messages.

    A failed member stays in the view for some seconds until the failure is
    detected, and each request under a key that names it would be refused.
    Therefore members that are suspected or were unresponsive recently come last.

    :param own: the address of the issuer.
    :param view: the current members.
    :param unresponsive: members that did not respond to a notice recently.
    """
    others = [member for member in view.alive if _can_witness(own, member, view)]

    def sort_key(member: MemberAddress) -> tuple[bool, bool, bool, int]:
        name = member.instance
        is_unreliable = name in view.suspects or name in unresponsive
        return (is_unreliable, *_rank_by_location(own, member))

    others.sort(key=sort_key)
    return tuple(others[:WITNESS_COUNT])


def _can_witness(own: MemberAddress, member: MemberAddress, view: MemberView) -> bool:
    if member.instance == own.instance:
        return False
    return member.instance not in view.leaving


def _rank_by_location(
    own: MemberAddress, member: MemberAddress
) -> tuple[bool, bool, int]:
    same_domain = member.failure_domain == own.failure_domain
    other_region = member.region != own.region
    weight = xxhash.xxh64_intdigest(f'{own.instance}/{member.instance}'.encode())
    return (same_domain, other_region, weight)
