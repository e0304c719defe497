"""The waiting requests of one class in one pool."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.admission.queued_request import QueuedRequest

#: How far a start looks past requests that may not start now.  A single
#: request may be held back for reasons of its own; it must not hold up all
#: that wait behind it.
LOOK_AHEAD_REQUESTS = 4

#: Heaps are rebuilt when they hold this many entries more than requests.
MAX_STALE_ENTRIES = 64


class ClassQueue:
    """Earliest target first; what has missed its target comes after the rest.

    Plain earliest-deadline-first collapses under overload, because each start
    then goes to the request that is just missing its target.  Requests that
    have missed theirs are therefore moved to a second heap, which is served
    when the first is empty.  Patient requests are never moved.

    :param organisation: whose requests these are.
    :param class_name: their class.
    :param tier: their tier.
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
        """Let *request* wait.

        :param request: of this queue's organisation, class and tier.
        """
        self._requests[request.request_id] = request
        target_ms = request.arrival_ms + request.first_token_target_ms
        heapq.heappush(self._on_time, (target_ms, request.request_id))

    def remove(self, request_id: str) -> QueuedRequest:
        """Remove and return a request that waits here.

        :param request_id: the request.
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
        """Return whether the first request is late, its time and its id.

        :param now_ms: the time.
        """
        self._settle(now_ms)
        if self._on_time:
            return False, *self._on_time[0]
        if self._late:
            return True, *self._late[0]
        return None

    def head(self, now_ms: int) -> QueuedRequest | None:
        """Return the request that would start first.

        :param now_ms: the time.
        """
        first = self.peek(now_ms)
        return None if first is None else self._requests[first[2]]

    def take(
        self, now_ms: int, may_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request that may start.

        :param now_ms: the time.
        :param may_start: says whether a request may start now.
        """
        refused: list[tuple[list[tuple[int, str]], tuple[int, str]]] = []
        taken = None
        while taken is None and len(refused) < LOOK_AHEAD_REQUESTS:
            self._settle(now_ms)
            heap = self._on_time or self._late
            if not heap:
                break
            request = self._requests[heap[0][1]]
            if may_start(request):
                taken = self.remove(request.request_id)
            else:
                refused.append((heap, heapq.heappop(heap)))
        for heap, entry in refused:
            heapq.heappush(heap, entry)
        return taken

    def _settle(self, now_ms: int) -> None:
        """Bring valid entries to the top of both heaps."""
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
