"""The state of one engine, as a planner knows it."""

from __future__ import annotations

from typing import NamedTuple


class EngineState(NamedTuple):
    """The entry of an engine and its latest report.

    ``allowed`` are the models that it may serve according to its entry, and
    ``loaded`` those that it reported at ``as_of_ms``, which is -1 for an engine
    that has never reported.  ``is_usable`` is false while it drains or leaves.
    """

    endpoint: str
    failure_domain: str
    concurrent_requests: int
    allowed: frozenset[str]
    loaded: frozenset[str] = frozenset()
    as_of_ms: int = -1
    is_usable: bool = True
