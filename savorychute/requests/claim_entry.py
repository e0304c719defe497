"""The first claim of a request key in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.requests.claim_owner import ClaimOwner


class ClaimEntry(NamedTuple):
    """The owner of a key, its request, and whether the owner released the key."""

    owner: ClaimOwner
    fingerprint: str
    released: bool = False
