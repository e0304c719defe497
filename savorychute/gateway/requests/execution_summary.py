"""Timings and counts of a finished request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.requests.response_evidence import ResponseEvidence


class ExecutionSummary(NamedTuple):
    """Durations since the arrival of the request, and counts.

    ``first_event_ms`` is 0 for a response without events.  ``endpoint`` is the endpoint
    of the last attempt, ``via`` the instance through which it was sent (empty for none),
    ``is_delimited`` is false if only the end of a connection ended that endpoint's response,
    ``longest_gap_ms`` the longest gap between two events, ``software_version`` the
    version of that endpoint, ``evidence`` what vouches for its response,
    ``verdict_traits`` what a verdict on the request concerns.
    """

    duration_ms: int
    first_event_ms: int
    sends: int
    possible_executions: int
    events: int
    longest_gap_ms: int
    endpoint: str
    via: str
    software_version: str | None
    evidence: ResponseEvidence
    is_delimited: bool = True
    verdict_traits: tuple[int, ...] = ()
