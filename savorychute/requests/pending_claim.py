"""A claim that is not decided yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.requests.request_key import RequestKey


class PendingClaim(NamedTuple):
    """The key, its request's fingerprint, who waits, and until when."""

    key: RequestKey
    fingerprint: str
    request_ids: tuple[str, ...]
    give_up_ms: int
