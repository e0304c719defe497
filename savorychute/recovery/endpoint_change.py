"""A change of an endpoint's health."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.recovery.endpoint_health import EndpointHealth


class EndpointChange(NamedTuple):
    """What changed, when, and why, for the audit trail and for events."""

    endpoint: str
    before: EndpointHealth
    after: EndpointHealth
    at_ms: int
    reason: str
