"""The models that an endpoint last reported."""

from __future__ import annotations

from typing import NamedTuple


class ReportedModels(NamedTuple):
    """The models that were loaded at ``as_of_ms`` by this instance's clock."""

    models: frozenset[str]
    as_of_ms: int

    def describe(self) -> str:
        """Return the sorted models joined by commas."""
        return ','.join(sorted(self.models))
