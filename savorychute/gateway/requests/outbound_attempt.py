"""One attempt of a request, as it is sent to an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.moves.continuation import Continuation
    from savorychute.gateway.permits.permit import Permit
    from savorychute.gateway.requests.inbound_request import InboundRequest


class OutboundAttempt(NamedTuple):
    """The data that is sent to an endpoint.

    ``remaining_ms`` is the time left until the deadline, ``urgency`` the rank among the
    requests at a model engine (0 is the most urgent; None for plain services),
    ``last_event`` the id of the event after which a stream resumes, ``organisation`` the
    owner of the caller's key.  ``fresh`` requires a new connection.  An endpoint that
    states a limit is called only with a ``permit``.  With a ``continuation`` the attempt
    goes on with a run that stopped at another engine, after ``last_event``.  ``repeated``
    is true if the request was sent to the address before, where a late copy of the earlier
    response would name it too.
    """

    request: InboundRequest
    endpoint: EndpointEntry
    remaining_ms: int
    organisation: str
    urgency: int | None
    last_event: str
    fresh: bool
    permit: Permit | None = None
    continuation: Continuation | None = None
    repeated: bool = False

    @property
    def returns_to_source(self) -> bool:
        """Whether a run goes on at the engine where it stopped."""
        continuation = self.continuation
        return continuation is not None and continuation.source == self.endpoint.address
