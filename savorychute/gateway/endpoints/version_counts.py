"""Counts the listed endpoints of each software version."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry


class VersionCounts:
    """The software versions of each service, without a walk over its endpoints."""

    def __init__(self) -> None:
        self._counts: dict[str, Counter[str | None]] = {}

    def add(self, entry: EndpointEntry) -> None:
        """Count an endpoint that is listed."""
        counts = self._counts.setdefault(entry.service, Counter())
        counts[entry.software_version] += 1

    def remove(self, entry: EndpointEntry) -> None:
        """Count an endpoint that is not listed any more."""
        counts = self._counts[entry.service]
        counts[entry.software_version] -= 1
        if not counts[entry.software_version]:
            del counts[entry.software_version]

    def versions(self, service: str) -> tuple[str | None, ...]:
        """Return the versions of a service; None among them for an unknown one.

        :param service: name of the service.
        """
        return tuple(self._counts.get(service, ()))
