"""A request that may run."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.configuration.service import Service


class Admitted(NamedTuple):
    """What the configuration in force says of a request.

    ``organisation`` is empty for a caller without a key.  ``rank`` is its
    urgency, 0 first.  ``end_ms`` is when the
    caller must have its final answer.
    """

    route: Route
    service: Service
    organisation: str
    rank: int
    fingerprint: str
    end_ms: int
    version: int
