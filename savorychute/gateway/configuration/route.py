"""One route of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.configuration.request_kind import RequestKind

if TYPE_CHECKING:
    from savorychute.gateway.configuration.service_share import ServiceShare


class Route(NamedTuple):
    """Which requests go where, and what they are owed.

    ``timeout_ms`` is the longest a caller is kept waiting, ``target_ms`` the latency
    objective (of a stream: to its first event), ``gap_target_ms`` the longest pause
    between events of a stream that is still on time.  A lower ``tier`` is more urgent.
    ``max_attempts`` bounds the endpoints that one request may run on.  A ``public``
    route needs no key.  A ``resumable`` stream may go on at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    target_ms: int
    gap_target_ms: int
    tier: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a second run of a request does no harm."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT
