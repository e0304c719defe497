"""Rendezvous hashing: who is responsible for a key.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates"
(1998): each member's score is a hash of member and key, and the highest scores
win.  A member that comes or goes moves only the keys that it wins or had won.
The incarnation is no part of the hash, so a restart moves nothing.
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
    """Return the member's score for the key, 64 bits.

    :param key: what is to be mapped.
    :param member: only its name counts.
    """
    return int(xxhash.xxh3_64_intdigest(key.encode(), _seed_of(member.instance)))


def choose_homes(
    key: str,
    members: Sequence[MemberAddress],
    count: int,
    spread: bool = True,
) -> tuple[MemberAddress, ...]:
    """Return the members responsible for a key, the first one foremost.

    :param key: what is to be mapped.
    :param members: those to choose from, in any order.
    :param count: how many at most.
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
    """Take members domain by domain: the best of each, then the second best."""
    taken_of: dict[str, int] = {}
    rounds: list[tuple[int, int]] = []
    for position, member in enumerate(ranked):
        turn = taken_of.get(member.failure_domain, 0)
        taken_of[member.failure_domain] = turn + 1
        rounds.append((turn, position))
    rounds.sort()
    return tuple(ranked[position] for _, position in rounds[:count])
