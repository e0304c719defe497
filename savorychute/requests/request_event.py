"""One transition in the lifecycle of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.requests.request_state import RequestState


class RequestEvent(NamedTuple):
    """The time, states, reason and attempt of a transition."""

    at_ms: int
    before: RequestState
    after: RequestState
    reason: str
    attempt_id: str = ''
