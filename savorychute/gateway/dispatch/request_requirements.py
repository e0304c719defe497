"""Requirements of a request for the choice of an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.requests.prompt import Prompt


class RequestRequirements(NamedTuple):
    """The prompt of a request, and its objectives.

    ``prompt`` is None for a plain service.  ``gap_target_ms`` is the longest permitted
    gap between events, 0 for no limit.  ``target_ms`` is the objective for the first
    event, or for the whole response of a plain service, and ``rank`` the urgency (0
    first).  ``organisation`` owns the caller's key, ``end_ms`` is when the caller must
    have its final response, and ``answer_events`` the expected number of events; both
    are 0 if they are unknown.  ``is_retry`` is true if an engine refused the request before, and
    ``any_engine`` if its partition had no capacity for it.  ``returned`` is true if its
    caller has waited since an earlier refusal.
    """

    prompt: Prompt | None = None
    gap_target_ms: int = 0
    target_ms: int = 0
    rank: int = 0
    is_retry: bool = False
    any_engine: bool = False
    organisation: str = ''
    end_ms: int = 0
    answer_events: float = 0.0
    returned: bool = False
