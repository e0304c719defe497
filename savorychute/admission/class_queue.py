"""The waiting requests of one class in one pool."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.admission.queued_request import QueuedRequest

#: How many requests that cannot start now are passed over in the search for
#: one that can.  A request that is blocked for its own reasons must not block
#: the requests behind it.
LOOK_AHEAD_REQUESTS = 4

#: The heaps are rebuilt when their stale entries outnumber the waiting
#: requests by more than this.
MAX_STALE_ENTRIES = 64


class ClassQueue:
    """Orders requests by earliest target; late requests come last.

    Plain earliest-deadline-first scheduling collapses under overload, because
    each start then goes to the request that is just missing its target.
    Requests that have missed their target are therefore moved to a second
    heap, which is served when the first is empty.  Patient requests are never
    moved.

    :param organisation: the organisation of the requests.
    :param class_name: the class of the requests.
    :param tier: the tier of the requests.
    """

    def __init__(self, organisation: str, class_name: str, tier: int) -> None:
        self.organisation = organisation
        self.class_name = class_name
        self.tier = tier
        self._requests: dict[str, QueuedRequest] = {}
        self._on_time: list[tuple[int, str]] = []
        self._late: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: QueuedRequest) -> None:
        """Add *request* to the queue.

        :param request: a request of this queue's organisation, class and tier.
        """
        self._requests[request.request_id] = request
        target_ms = request.arrival_ms + request.first_token_target_ms
        heapq.heappush(self._on_time, (target_ms, request.request_id))

    def remove(self, request_id: str) -> QueuedRequest:
        """Remove and return a request of this queue.

        :param request_id: the id of the request.
        """
        request = self._requests.pop(request_id)
        stale = len(self._on_time) + len(self._late) - len(self._requests)
        if stale > len(self._requests) + MAX_STALE_ENTRIES:
            self._drop_stale_entries()
        return request

    def latest(self) -> QueuedRequest:
        """Return the request that was added last."""
        return next(reversed(self._requests.values()))

    def peek(self, now_ms: int) -> tuple[bool, int, str] | None:
        """Return the first entry: whether it is late, its time and its id.

        The time is the request's target, or its deadline if it is late.

        :param now_ms: the current time.
        """
        self._update_heaps(now_ms)
        if self._on_time:
            return False, *self._on_time[0]
        if self._late:
            return True, *self._late[0]
        return None

    def head(self, now_ms: int) -> QueuedRequest | None:
        """Return the request that would start first.

        :param now_ms: the current time.
        """
        first = self.peek(now_ms)
        return None if first is None else self._requests[first[2]]

    def pop_startable(
        self, now_ms: int, can_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request that can start.

        :param now_ms: the current time.
        :param can_start: returns whether a request can start now.
        """
        blocked: list[tuple[list[tuple[int, str]], tuple[int, str]]] = []
        popped = None
        while popped is None and len(blocked) < LOOK_AHEAD_REQUESTS:
            self._update_heaps(now_ms)
            heap = self._on_time or self._late
            if not heap:
                break
            request = self._requests[heap[0][1]]
            if can_start(request):
                popped = self.remove(request.request_id)
            else:
                blocked.append((heap, heapq.heappop(heap)))
        for heap, entry in blocked:
            heapq.heappush(heap, entry)
        return popped

    def _update_heaps(self, now_ms: int) -> None:
        """Move late requests and drop stale entries at the top of both heaps."""
        while self._on_time:
            target_ms, request_id = self._on_time[0]
            request = self._requests.get(request_id)
            if request is not None and (request.patient or target_ms > now_ms):
                break
            heapq.heappop(self._on_time)
            if request is not None:
                heapq.heappush(self._late, (request.deadline_ms, request_id))
        while self._late and self._late[0][1] not in self._requests:
            heapq.heappop(self._late)

    def _drop_stale_entries(self) -> None:
        for heap in (self._on_time, self._late):
            heap[:] = [entry for entry in heap if entry[1] in self._requests]
            heapq.heapify(heap)
