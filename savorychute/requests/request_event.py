"""One step of a request's life."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.requests.request_state import RequestState


class RequestEvent(NamedTuple):
    """A transition: when, between which states, for which attempt, and why."""

    at_ms: int
    before: RequestState
    after: RequestState
    reason: str
    attempt_id: str = ''
