"""Redirection of a request to the instance that decides its key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.member_address import MemberAddress


class KeyRedirect(NamedTuple):
    """Another instance decides the key; this does not say whether the key ran."""

    request_id: str
    address: MemberAddress
