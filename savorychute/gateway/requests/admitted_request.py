"""A request that has passed admission."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.crashes.request_traits import RequestTraits
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.configuration.service import Service


class AdmittedRequest(NamedTuple):
    """What the configuration in force determines for a request.

    ``organisation`` is empty for a caller without a key.  ``rank`` is the priority,
    0 is the most urgent.  ``end_ms`` is the time by which the caller must have its
    final response.  ``version`` is the configuration version.  ``traits`` are what the
    request may have in common with others that crash endpoints; ``is_trial`` is true if
    it is let through to find out whether requests with them still do.
    """

    route: Route
    service: Service
    organisation: str
    rank: int
    traits: RequestTraits
    end_ms: int
    version: int
    is_trial: bool = False
