"""The platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class ListingFetched(NamedTuple):
    """The live instances and the leaving ones; the list may be stale.

    ``leaving`` contains names of instances and endpoints.
    """

    ok: bool
    live: tuple[MemberAddress, ...] = ()
    leaving: frozenset[str] = frozenset()
