"""The histories of recently ended requests, for the command ``explain``."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.instance.request_outcome import RequestOutcome
    from savorychute.instance.tracked_request import TrackedRequest
    from savorychute.requests.request_event import RequestEvent


class Explanation(NamedTuple):
    """The outcome of an ended request and its state transitions."""

    outcome: RequestOutcome
    history: tuple[RequestEvent, ...]


class Explanations:
    """The requests that ended last at this instance.

    :param capacity_requests: how many are kept; older ones are discarded.
    """

    def __init__(self, capacity_requests: int) -> None:
        self._capacity_requests = capacity_requests
        self._explanations: OrderedDict[str, Explanation] = OrderedDict()

    def store(self, tracked: TrackedRequest, outcome: RequestOutcome) -> None:
        """Store the outcome and the history of a request that has just ended."""
        history = tuple(tracked.lifecycle.history)
        self._explanations[tracked.request_id] = Explanation(outcome, history)
        if len(self._explanations) > self._capacity_requests:
            self._explanations.popitem(last=False)

    def find(self, request_id: str) -> Explanation | None:
        """Return the explanation of an ended request, if it is still stored."""
        return self._explanations.get(request_id)
