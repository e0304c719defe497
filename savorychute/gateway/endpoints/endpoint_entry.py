"""What the platform lists of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress


class EndpointEntry(NamedTuple):
    """One run of an endpoint.

    ``endpoint`` and ``born_ms`` name the run, while ``address`` may be used again by an
    endpoint of another service.  ``slots`` requests run at once.  ``sequence`` grows
    with each report of the run.  A ``reclaimable`` one may be taken away at short notice.
    """

    endpoint: str
    service: str
    address: ServerAddress
    failure_domain: str
    slots: int
    draining: bool
    sequence: int
    born_ms: int = 0
    reclaimable: bool = False

    @property
    def run(self) -> EndpointRun:
        """The run that the entry is of."""
        return EndpointRun(self.endpoint, self.born_ms)
