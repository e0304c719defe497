"""The waiting requests of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.admission.class_key import ClassKey
from savorychute.admission.guaranteed_starts import GuaranteedStarts
from savorychute.admission.start_rate import StartRate
from savorychute.admission.tier_queue import TierQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.admission.queued_request import QueuedRequest


class PoolQueue:
    """Serves tiers in strict order, except for guaranteed starts.

    :param guaranteed_one_in: at most one of this many starts is made for a
        guarantee.
    """

    def __init__(self, guaranteed_one_in: int) -> None:
        self.tiers: dict[int, TierQueue] = {}
        self._guaranteed = GuaranteedStarts(guaranteed_one_in)
        self._rate = StartRate()

    @property
    def request_count(self) -> int:
        """The number of waiting requests."""
        return sum(queue.request_count for queue in self.tiers.values())

    def waiting(self) -> dict[int, int]:
        """Return the number of waiting requests by tier, the highest first."""
        return {
            tier: self.tiers[tier].request_count
            for tier in sorted(self.tiers)
            if self.tiers[tier].request_count
        }

    def add(self, request: QueuedRequest, weight: float, share: float) -> None:
        """Add *request* to the queue.

        :param request: a request for this pool.
        :param weight: the share of its organisation relative to the others.
        :param share: the guaranteed share of the starts of its class.
        """
        queue = self.tiers.get(request.tier)
        if queue is None:
            queue = self.tiers[request.tier] = TierQueue(request.tier)
        if queue.add(request, weight):
            self._guaranteed.add(_class_key_of(request), share)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request of this queue.

        :param request: the request.
        """
        self.tiers[request.tier].remove(request)

    def pop_startable(
        self, now_ms: int, can_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the request that starts next.

        :param now_ms: the current time.
        :param can_start: returns whether a request can start now.
        """
        request = self._pop_guaranteed(now_ms, can_start)
        is_guaranteed = request is not None
        if request is None:
            request = self._pop_by_tier(now_ms, can_start)
        if request is None:
            return None
        self._guaranteed.record_start(
            _class_key_of(request), is_guaranteed=is_guaranteed
        )
        self._rate.record_start(request.tier, now_ms, still_waiting=self._has_waiting())
        return request

    def estimate_wait_ms(self, request: QueuedRequest, weight: float) -> float:
        """Return how long a new request would wait for its start.

        Requests of lower tiers are not counted: they start later, and their
        guaranteed starts must not cause requests of higher tiers to be shed.

        :param request: the new request.
        :param weight: the share of its organisation relative to the others.
        """
        interval_ms = self._rate.interval_ms(request.tier)
        if interval_ms is None:
            return 0.0
        higher = sum(
            _count_unlimited(queue)
            for tier, queue in self.tiers.items()
            if tier < request.tier
        )
        return (higher + self._count_ahead(request, weight)) * interval_ms

    def head_of_highest_tier(self, now_ms: int) -> QueuedRequest | None:
        """Return the first request of the highest tier that has any.

        :param now_ms: the current time.
        """
        for tier in sorted(self.tiers):
            head = self.tiers[tier].head(now_ms)
            if head is not None:
                return head
        return None

    def _count_ahead(self, request: QueuedRequest, weight: float) -> float:
        """Return how many requests of its own tier start before a new request.

        In fair order an organisation waits for its own requests, multiplied by
        the ratio of all weights to its own, and never for more requests than
        are waiting.
        """
        queue = self.tiers.get(request.tier)
        if queue is None:
            return 0.0
        flow = queue.flows.get(request.organisation)
        others = sum(
            other.weight
            for other in queue.flows.values()
            if other is not flow and not other.is_limited
        )
        own_count = 0 if flow is None else flow.request_count
        weighted_count = own_count * (weight + others) / weight
        return min(weighted_count, queue.request_count)

    def _pop_guaranteed(
        self, now_ms: int, can_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        request = None
        blocked: list[ClassKey] = []
        while request is None:
            key = self._guaranteed.pop_due()
            if key is None:
                break
            queue = self.tiers.get(key.tier)
            if queue is None or not _has_class(queue, key):
                continue
            request = queue.pop_startable_of_class(
                key.organisation, key.class_name, now_ms, can_start
            )
            if request is None or _has_class(queue, key):
                blocked.append(key)
        for key in blocked:
            self._guaranteed.put_back(key)
        return request

    def _pop_by_tier(
        self, now_ms: int, can_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        for tier in sorted(self.tiers):
            request = self.tiers[tier].pop_startable(now_ms, can_start)
            if request is not None:
                return request
        return None

    def _has_waiting(self) -> bool:
        return any(_count_unlimited(queue) for queue in self.tiers.values())


def _class_key_of(request: QueuedRequest) -> ClassKey:
    return ClassKey(request.tier, request.organisation, request.class_name)


def _has_class(queue: TierQueue, key: ClassKey) -> bool:
    flow = queue.flows.get(key.organisation)
    return flow is not None and flow.class_queue(key.class_name) is not None


def _count_unlimited(queue: TierQueue) -> int:
    return sum(
        flow.request_count for flow in queue.flows.values() if not flow.is_limited
    )
