"""What the platform lists of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress


class EndpointEntry(NamedTuple):
    """One run of an endpoint.

    ``endpoint`` is new at each start, while ``address`` may be used again by an
    endpoint of another service.  ``slots`` requests run at once.  ``sequence`` grows
    with each report.
    """

    endpoint: str
    service: str
    address: ServerAddress
    failure_domain: str
    slots: int
    draining: bool
    sequence: int
