"""What a planner knows of one engine."""

from __future__ import annotations

from typing import NamedTuple


class EngineState(NamedTuple):
    """An engine's entry and its newest report.

    ``allowed`` is what it may serve according to its entry, ``loaded`` what it
    reported at ``as_of_ms``; an engine that was never heard of has ``as_of_ms``
    -1.  ``is_usable`` is false while it drains or leaves.
    """

    endpoint: str
    failure_domain: str
    concurrent_requests: int
    allowed: frozenset[str]
    loaded: frozenset[str] = frozenset()
    as_of_ms: int = -1
    is_usable: bool = True
