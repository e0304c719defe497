"""One try of a request at an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.permits.permit import Permit
    from savorychute.gateway.requests.inbound_request import InboundRequest


class OutboundAttempt(NamedTuple):
    """What an endpoint is sent.

    ``remaining_ms`` is the time left, ``urgency`` the rank among the requests at a
    model engine (0 is first; None for plain services), ``last_event`` the id after
    which a stream goes on, ``organisation`` whose key the request had.  An endpoint that
    states a limit is called only with a ``permit``.
    """

    request: InboundRequest
    endpoint: EndpointEntry
    remaining_ms: int
    organisation: str
    urgency: int | None
    last_event: str
    fresh: bool
    permit: Permit | None = None
