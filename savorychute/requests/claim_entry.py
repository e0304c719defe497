"""The first claim of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.requests.claim_owner import ClaimOwner


class ClaimEntry(NamedTuple):
    """Who owns a key, for which request, and whether it was given up."""

    owner: ClaimOwner
    fingerprint: str
    released: bool = False
