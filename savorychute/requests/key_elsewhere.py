"""Another instance decides a key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class KeyElsewhere(NamedTuple):
    """Redirect the caller; says nothing about whether the key ran."""

    request_id: str
    address: MemberAddress
