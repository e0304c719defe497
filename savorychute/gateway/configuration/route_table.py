"""Lookups in one version of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.configuration.organisation import Organisation
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.configuration.service import Service


class RouteTable:
    """Finds the route of a path, the owner of a key and a service by name.

    Prefixes start and end with a slash, so the candidates of a path are its parts up to
    each slash.  Each takes one dictionary lookup, regardless of the number of routes.

    :param deployment: the version to index.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.version = deployment.version
        self.deployment = deployment
        self.services: dict[str, Service] = {
            service.name: service for service in deployment.services
        }
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in deployment.routes
        }
        self._owners: dict[str, Organisation] = {
            key: organisation
            for organisation in deployment.organisations or ()
            for key in organisation.keys
            # A request without a key has an empty one.
            if key
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self.deployment.organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        :param host: the host of the request, in lower case.
        :param path: the path without its query.
        """
        end = path.rfind('/')
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_owner(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, or None.

        :param key: the key as the caller sent it.
        """
        return self._owners.get(key)
