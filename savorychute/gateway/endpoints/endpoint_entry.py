"""Entry of an endpoint in the list of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress


class EndpointEntry(NamedTuple):
    """The entry of one run of an endpoint.

    ``endpoint`` and ``born_ms`` identify the run, while ``address`` may be reused by an
    endpoint of another service.  ``slots`` is the number of concurrent requests.
    ``sequence`` increases with each report of the run.  A ``reclaimable`` endpoint may
    be withdrawn at short notice.  ``software_version`` is any text, without an order;
    it is empty if the entry states none, and None if this instance does not know it.
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
    software_version: str | None = ''

    @property
    def run(self) -> EndpointRun:
        """The run that the entry describes."""
        return EndpointRun(self.endpoint, self.born_ms)
