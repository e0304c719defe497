"""Why requests went where they went, for a while after their end."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.instance.request_outcome import RequestOutcome
    from savorychute.instance.tracked_request import TrackedRequest
    from savorychute.requests.request_event import RequestEvent


class Explanation(NamedTuple):
    """One ended request: its outcome and the moves that led there."""

    outcome: RequestOutcome
    history: tuple[RequestEvent, ...]


class Explanations:
    """The last requests that ended here.

    :param capacity_requests: how many are kept; older ones are forgotten.
    """

    def __init__(self, capacity_requests: int) -> None:
        self._capacity_requests = capacity_requests
        self._kept: OrderedDict[str, Explanation] = OrderedDict()

    def keep(self, tracked: TrackedRequest, outcome: RequestOutcome) -> None:
        """Keep what is known of a request that has just ended."""
        history = tuple(tracked.life.history)
        self._kept[tracked.request_id] = Explanation(outcome, history)
        if len(self._kept) > self._capacity_requests:
            self._kept.popitem(last=False)

    def find(self, request_id: str) -> Explanation | None:
        """Return what is known of an ended request, if it is still kept."""
        return self._kept.get(request_id)
