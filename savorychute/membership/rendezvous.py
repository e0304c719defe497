"""Rendezvous hashing: selects the members responsible for a key.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
(1998): each member's score is a hash of member and key, and the highest scores
win.  A member that joins or leaves moves only the keys that it wins or had won.
The incarnation is not part of the hash, so a restart moves no keys.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.member_address import MemberAddress


@lru_cache(maxsize=4096)
def _seed_of(instance: str) -> int:
    return int(xxhash.xxh3_64_intdigest(instance.encode()))


def score_member(key: str, member: MemberAddress) -> int:
    """Return the member's 64-bit score for the key.

    :param key: the key to map.
    :param member: the member; only its name is hashed.
    """
    return int(xxhash.xxh3_64_intdigest(key.encode(), _seed_of(member.instance)))


def choose_homes(
    key: str,
    members: Sequence[MemberAddress],
    count: int,
    spread: bool = True,
) -> tuple[MemberAddress, ...]:
    """Return the members responsible for a key, the primary one first.

    :param key: the key to map.
    :param members: the candidates, in any order.
    :param count: the maximum number of members to return.
    :param spread: prefer members in failure domains not yet chosen.
    """
    if not members or count <= 0:
        return ()
    if count == 1:
        return (max(members, key=lambda member: score_member(key, member)),)
    ranked = sorted(members, key=lambda m: score_member(key, m), reverse=True)
    if not spread:
        return tuple(ranked[:count])
    return _spread_over_domains(ranked, count)


def _spread_over_domains(
    ranked: Sequence[MemberAddress], count: int
) -> tuple[MemberAddress, ...]:
    """Return the best member of each failure domain, then the second best."""
    chosen_per_domain: dict[str, int] = {}
    order: list[tuple[int, int]] = []
    for position, member in enumerate(ranked):
        round_number = chosen_per_domain.get(member.failure_domain, 0)
        chosen_per_domain[member.failure_domain] = round_number + 1
        order.append((round_number, position))
    order.sort()
    return tuple(ranked[position] for _, position in order[:count])
