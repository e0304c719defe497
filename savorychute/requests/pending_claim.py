"""A claim that is not yet decided."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.requests.request_key import RequestKey


class PendingClaim(NamedTuple):
    """A claimed key, its fingerprint, the waiting requests and their deadline."""

    key: RequestKey
    fingerprint: str
    request_ids: tuple[str, ...]
    deadline_ms: int
