"""An observed crash: an endpoint that was lost while it ran a request."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun  # noqa: TC001


class CrashSighting(NamedTuple):
    """The fingerprint of the request and the run of the endpoint."""

    fingerprint: str
    run: EndpointRun
