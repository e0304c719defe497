"""The platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class ListingFetched(NamedTuple):
    """Who is live and who is leaving, as of some time ago.

    ``leaving`` holds names of instances and of endpoints.
    """

    ok: bool
    live: tuple[MemberAddress, ...] = ()
    leaving: frozenset[str] = frozenset()
