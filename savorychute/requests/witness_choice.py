"""Chooses the instances that witness an issuer's keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

WITNESS_COUNT = 2


def choose_witnesses(
    own: MemberAddress, view: MemberView, unanswering: Collection[str] = ()
) -> tuple[MemberAddress, ...]:
    """Return up to two witnesses, the same ones as long as both stay.

    Instances of the same region and another failure domain come first: near
    enough for a round trip on the request path, and unlikely to be lost
    together with the issuer.  Few and steady witnesses keep the number of
    pairs that exchange messages small.

    A member that has died is chosen until its death is known, some seconds
    later, and each request under such a key would be refused.  So members that
    are suspected or did not answer lately come last.

    :param own: the issuer.
    :param view: the members.
    :param unanswering: members that did not answer a notice lately.
    """
    others = [member for member in view.alive if _may_witness(own, member, view)]

    def rank(member: MemberAddress) -> tuple[bool, bool, bool, int]:
        name = member.instance
        is_doubtful = name in view.suspects or name in unanswering
        return (is_doubtful, *_rank(own, member))

    others.sort(key=rank)
    return tuple(others[:WITNESS_COUNT])


def _may_witness(own: MemberAddress, member: MemberAddress, view: MemberView) -> bool:
    if member.instance == own.instance:
        return False
    return member.instance not in view.leaving


def _rank(own: MemberAddress, member: MemberAddress) -> tuple[bool, bool, int]:
    same_domain = member.failure_domain == own.failure_domain
    other_region = member.region != own.region
    weight = xxhash.xxh64_intdigest(f'{own.instance}/{member.instance}'.encode())
    return (same_domain, other_region, weight)
