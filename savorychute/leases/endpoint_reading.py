"""What an endpoint last said of its models."""

from __future__ import annotations

from typing import NamedTuple


class EndpointReading(NamedTuple):
    """Models that were loaded at ``as_of_ms`` of this instance's clock."""

    models: frozenset[str]
    as_of_ms: int

    def describe(self) -> str:
        """Return the sorted models joined by commas."""
        return ','.join(sorted(self.models))
