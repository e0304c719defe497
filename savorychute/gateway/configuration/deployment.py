"""The complete configuration of a deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.configuration.caller_limits import CallerLimits
    from savorychute.gateway.configuration.organisation import Organisation
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.configuration.service import Service


class Deployment(NamedTuple):
    """One version of routes, services, organisations and limits.

    ``organisations`` is None if the document has no list of them: then no request needs
    a key.  If the list is empty, nobody has one.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None
    limits: CallerLimits
