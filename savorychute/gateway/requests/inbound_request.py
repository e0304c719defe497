"""A decoded request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.gateway.requests.prompt import Prompt
    from savorychute.http.http_request import HttpRequest


class InboundRequest(NamedTuple):
    """The fields that decide how a request is handled, and the bytes to forward.

    ``deadline_ms`` is how long the caller waits, counted from the arrival.  ``key`` is
    the caller's secret, empty for none.  ``last_event`` is the id of the last event that
    the caller of a resumed stream has received, and ``resumed_attempt`` the id of the
    caller's attempt that brought the first event of that stream.
    """

    attempt_id: str
    host: str
    path: str
    key: str
    deadline_ms: int | None
    last_event: str
    resumed_attempt: str
    prompt: Prompt | None
    raw: HttpRequest
