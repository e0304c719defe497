"""Identity of one run of an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class EndpointRun(NamedTuple):
    """An endpoint's name and its start time, by its own clock.

    An endpoint may restart under the same name.  The new run has none of the state of
    the old one, so observations of one run say nothing about another.  ``born_ms`` is 0
    if the platform does not report it; then each start has a new name.
    """

    endpoint: str
    born_ms: int = 0
