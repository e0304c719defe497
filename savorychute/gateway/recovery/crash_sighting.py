"""An endpoint that broke off while it ran a request."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun  # noqa: TC001


class CrashSighting(NamedTuple):
    """The request's fingerprint and the endpoint's run."""

    fingerprint: str
    run: EndpointRun
