"""The answer to a caller that asks where to connect."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class DiscoveryAnswer(NamedTuple):
    """Addresses, the first to be tried first, and how long to keep them."""

    addresses: tuple[MemberAddress, ...]
    lifetime_ms: int
