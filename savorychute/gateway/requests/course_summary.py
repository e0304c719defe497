"""The figures of a request's course."""

from __future__ import annotations

from typing import NamedTuple


class CourseSummary(NamedTuple):
    """Durations from the request's arrival on, and counts.

    ``first_event_ms`` is 0 for an answer without events.  ``endpoint`` is the one that
    got the last attempt, ``longest_gap_ms`` the longest pause between two events.
    """

    duration_ms: int
    first_event_ms: int
    sends: int
    possible_runs: int
    events: int
    longest_gap_ms: int
    endpoint: str
