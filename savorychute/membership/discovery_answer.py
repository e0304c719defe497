"""The response to a discovery request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class DiscoveryAnswer(NamedTuple):
    """Addresses in the order to try them, and how long a caller may use them."""

    addresses: tuple[MemberAddress, ...]
    lifetime_ms: int
