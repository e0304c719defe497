"""The waiting requests of one organisation in one tier of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.admission.class_queue import ClassQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.admission.queued_request import QueuedRequest


class OrganisationFlow:
    """The classes of an organisation in one tier, earliest target first.

    ``start_tag`` is the position of the flow in the fair order.  ``is_limited``
    is true after others of the tier could start and this flow could not, which
    distinguishes an organisation at its own limits from a pool without
    capacity.

    :param organisation: the organisation.
    :param weight: the share of the organisation relative to the others.
    :param start_tag: the initial position in the fair order.
    """

    def __init__(self, organisation: str, weight: float, start_tag: float) -> None:
        self.organisation = organisation
        self.weight = weight
        self.start_tag = start_tag
        self.is_limited = False
        self.request_count = 0
        self._classes: dict[str, ClassQueue] = {}

    def add(self, request: QueuedRequest) -> ClassQueue:
        """Add *request* and return the queue of its class.

        :param request: a request of this organisation and tier.
        """
        queue = self._classes.get(request.class_name)
        if queue is None:
            queue = ClassQueue(request.organisation, request.class_name, request.tier)
            self._classes[request.class_name] = queue
        queue.add(request)
        self.request_count += 1
        return queue

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request of this flow.

        :param request: the request.
        """
        self._classes[request.class_name].remove(request.request_id)
        self._update_counts(request)

    def class_queue(self, class_name: str) -> ClassQueue | None:
        """Return the queue of a class if it has waiting requests.

        :param class_name: the class.
        """
        return self._classes.get(class_name)

    def latest(self) -> QueuedRequest:
        """Return the request that arrived last."""
        newest = (queue.latest() for queue in self._classes.values())
        return max(newest, key=lambda request: request.arrival_ms)

    def head(self, now_ms: int) -> QueuedRequest | None:
        """Return the request that would start first.

        :param now_ms: the current time.
        """
        queues = self._sorted_queues(now_ms)
        return queues[0].head(now_ms) if queues else None

    def pop_startable(
        self, now_ms: int, can_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request that can start.

        :param now_ms: the current time.
        :param can_start: returns whether a request can start now.
        """
        for queue in self._sorted_queues(now_ms):
            request = queue.pop_startable(now_ms, can_start)
            if request is not None:
                self._update_counts(request)
                return request
        return None

    def pop_startable_of_class(
        self,
        class_name: str,
        now_ms: int,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the first request of one class that can start.

        :param class_name: the class.
        :param now_ms: the current time.
        :param can_start: returns whether a request can start now.
        """
        queue = self._classes.get(class_name)
        request = None if queue is None else queue.pop_startable(now_ms, can_start)
        if request is not None:
            self._update_counts(request)
        return request

    def _sorted_queues(self, now_ms: int) -> list[ClassQueue]:
        queues = list(self._classes.values())
        if len(queues) > 1:
            queues.sort(key=lambda queue: queue.peek(now_ms) or (True, 0, ''))
        return queues

    def _update_counts(self, request: QueuedRequest) -> None:
        self.request_count -= 1
        if not self._classes[request.class_name]:
            del self._classes[request.class_name]
