"""A query for a permit to the home of an endpoint."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun  # noqa: TC001
from savorychute.wire.peer_messages import peer_message


@peer_message(95)
class PermitQuestion(NamedTuple):
    """Ask the home of a run for a permit.

    ``limit_per_s`` is the limit that the asking instance knows, stated ``age_ms`` ago;
    ``tier`` is the urgency of the call, 0 first.
    """

    sequence: int
    run: EndpointRun
    limit_per_s: float
    age_ms: int
    tier: int
