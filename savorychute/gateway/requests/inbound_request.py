"""A caller's request, decoded."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.requests.prompt import Prompt
    from savorychute.http.http_request import HttpRequest


class InboundRequest(NamedTuple):
    """What decides a request, and the bytes that are passed on.

    ``deadline_ms`` is how long the caller waits from its arrival on.  ``key`` is the
    caller's secret, empty for none.  ``last_event`` is the id of the last event that
    the caller of a resumed stream has.
    """

    attempt_id: str
    host: str
    path: str
    key: str
    deadline_ms: int | None
    last_event: str
    prompt: Prompt | None
    raw: HttpRequest
