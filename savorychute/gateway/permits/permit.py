"""Permits to call an endpoint that states a limit, and their denial."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun  # noqa: TC001


class Permit(NamedTuple):
    """One call to a run of an endpoint, to be sent until ``expires_ms``."""

    run: EndpointRun
    expires_ms: int


class Denial(NamedTuple):
    """No call at present; ``wait_ms`` is the time until a permit may be granted."""

    wait_ms: int


PermitOutcome = Permit | Denial
