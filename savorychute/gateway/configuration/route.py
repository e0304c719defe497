"""One route of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.configuration.request_kind import RequestKind

if TYPE_CHECKING:
    from savorychute.gateway.configuration.service_share import ServiceShare


class Route(NamedTuple):
    """The requests of a host and path prefix, their services and objectives.

    ``timeout_ms`` limits how long a caller waits.  ``target_ms`` is the latency
    objective; for a stream it applies to the first event.  ``gap_target_ms`` is the
    longest gap between two events of a stream that meets its objective.  A lower
    ``tier`` is more urgent.  ``max_attempts`` limits the number of endpoints that one
    request may run on.  A ``public`` route needs no key.  A ``resumable`` stream may
    continue at another endpoint.
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
    def retryable(self) -> bool:
        """Whether a request may safely run a second time."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT
