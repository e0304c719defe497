"""One run of an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class EndpointRun(NamedTuple):
    """An endpoint's name and when it began, by its own clock.

    An endpoint may start again under its name.  It then holds nothing of before, so what
    was seen of one run says nothing of another.  ``born_ms`` is 0 where the platform does
    not tell it; there each start has a new name.
    """

    endpoint: str
    born_ms: int = 0
