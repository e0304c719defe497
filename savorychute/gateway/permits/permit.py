"""Permission to call an endpoint that states a limit."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun  # noqa: TC001


class Permit(NamedTuple):
    """One call to a run of an endpoint, to be sent until ``ends_ms``."""

    run: EndpointRun
    ends_ms: int


class Denial(NamedTuple):
    """No call now; ``wait_ms`` is the time until one may be had."""

    wait_ms: int


Outcome = Permit | Denial
