"""All that waits for one pool."""

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
    """Tiers in strict order, but for starts that guarantees are due.

    :param guaranteed_one_in: at most one start in that many is paid for a
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
        """Return how many requests wait, by tier, the highest first."""
        return {
            tier: self.tiers[tier].request_count
            for tier in sorted(self.tiers)
            if self.tiers[tier].request_count
        }

    def add(self, request: QueuedRequest, weight: float, share: float) -> None:
        """Let *request* wait.

        :param request: for this pool.
        :param weight: the organisation's share against others.
        :param share: the class's guaranteed part of the starts.
        """
        queue = self.tiers.get(request.tier)
        if queue is None:
            queue = self.tiers[request.tier] = TierQueue(request.tier)
        if queue.add(request, weight):
            self._guaranteed.add(_key_of(request), share)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that waits here.

        :param request: the request.
        """
        self.tiers[request.tier].remove(request)

    def take(
        self, now_ms: int, may_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the request that starts next.

        :param now_ms: the time.
        :param may_start: says whether a request may start now.
        """
        request = self._take_due(now_ms, may_start)
        paid = request is not None
        if request is None:
            request = self._take_by_tier(now_ms, may_start)
        if request is None:
            return None
        self._guaranteed.started(_key_of(request), paid=paid)
        self._rate.started(request.tier, now_ms, still_waiting=self._has_waiting())
        return request

    def estimate_wait_ms(self, request: QueuedRequest, weight: float) -> float:
        """Return how long a newcomer would wait for its start.

        Work of lower tiers is left out: it starts later, and what its
        guarantee takes is not to be the reason for giving up higher work.

        :param request: the newcomer.
        :param weight: its organisation's share against others.
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

    def highest_head(self, now_ms: int) -> QueuedRequest | None:
        """Return the first request of the highest tier that has any.

        :param now_ms: the time.
        """
        for tier in sorted(self.tiers):
            head = self.tiers[tier].head(now_ms)
            if head is not None:
                return head
        return None

    def _count_ahead(self, request: QueuedRequest, weight: float) -> float:
        """Return how much of its own tier starts before a newcomer.

        In fair order an organisation waits for its own requests, stretched by the
        weights of the others, and never for more than all that wait.
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
        stretched = own_count * (weight + others) / weight
        return min(stretched, queue.request_count)

    def _take_due(
        self, now_ms: int, may_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        request = None
        refused: list[ClassKey] = []
        while request is None:
            key = self._guaranteed.pop_due()
            if key is None:
                break
            queue = self.tiers.get(key.tier)
            if queue is None or not _has_class(queue, key):
                continue
            request = queue.take_class(
                key.organisation, key.class_name, now_ms, may_start
            )
            if request is None or _has_class(queue, key):
                refused.append(key)
        for key in refused:
            self._guaranteed.put_back(key)
        return request

    def _take_by_tier(
        self, now_ms: int, may_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        for tier in sorted(self.tiers):
            request = self.tiers[tier].take(now_ms, may_start)
            if request is not None:
                return request
        return None

    def _has_waiting(self) -> bool:
        return any(_count_unlimited(queue) for queue in self.tiers.values())


def _key_of(request: QueuedRequest) -> ClassKey:
    return ClassKey(request.tier, request.organisation, request.class_name)


def _has_class(queue: TierQueue, key: ClassKey) -> bool:
    flow = queue.flows.get(key.organisation)
    return flow is not None and flow.class_queue(key.class_name) is not None


def _count_unlimited(queue: TierQueue) -> int:
    return sum(
        flow.request_count for flow in queue.flows.values() if not flow.is_limited
    )
