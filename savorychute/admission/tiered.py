"""The default: strict tiers, fair organisations, guaranteed minimum starts."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from savorychute.admission.admission import ADMISSIONS
from savorychute.admission.offer_outcome import OfferOutcome
from savorychute.admission.pool_queue import PoolQueue
from savorychute.admission.retry_after import choose_retry_after_ms
from savorychute.admission.shed_request import ShedRequest
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator, Sequence

    from savorychute.admission.organisation_flow import OrganisationFlow
    from savorychute.admission.queued_request import QueuedRequest
    from savorychute.admission.running_request import RunningRequest
    from savorychute.admission.settings import AdmissionSettings
    from savorychute.contracts.class_limits import ClassLimits
    from savorychute.contracts.organisation_limits import OrganisationLimits

DEFAULT_WEIGHT = 0.001
MIN_WEIGHT = 1e-6

#: How long a preempted request is expected to take until it is gone.
PREEMPTION_MS = 1_000


@ADMISSIONS.register('tiered')
class TieredAdmission:
    """The queue of one instance over all pools.

    Call :meth:`expire` before :meth:`next_start` when time has passed.

    :param settings: the bounds.
    :param rng: the source of jitter.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self.settings = settings
        self._rng = rng
        self._limits: dict[str, OrganisationLimits] = {}
        self._pools: dict[str, PoolQueue] = {}
        self._requests: dict[str, QueuedRequest] = {}
        self._tier_counts: dict[int, int] = {}
        self._tier_bytes: dict[int, int] = {}
        self._class_counts: dict[tuple[str, str], int] = {}
        self._give_up: list[tuple[int, str]] = []
        self._give_up_ms: dict[str, int] = {}
        self._preempting: dict[str, int] = {}

    def set_limits(self, limits: dict[str, OrganisationLimits]) -> None:
        """Replace the limits of all organisations; what waits keeps its bounds."""
        self._limits = limits

    def offer(
        self,
        request: QueuedRequest,
        predicted_wait_ms: float | None,
        now_ms: int,
        *,
        can_preempt: bool = False,
    ) -> OfferOutcome:
        """Take a request into the queue, or refuse it at once."""
        if request.deadline_ms <= now_ms:
            return self._refuse(ResultCode.DEADLINE_PASSED, 0.0)
        if self._is_class_full(request):
            return self._refuse(ResultCode.QUEUE_FULL, request.first_token_target_ms)
        if not can_preempt:
            late_ms = self._predict_lateness_ms(request, predicted_wait_ms)
            if late_ms > 0:
                return self._refuse(ResultCode.OVERLOADED, late_ms)
        shed = self._make_room(request)
        if shed is None:
            return self._refuse(ResultCode.QUEUE_FULL, request.first_token_target_ms)
        self._add(request, self._find_give_up_ms(request))
        return OfferOutcome(True, shed=shed)

    def restore(self, request: QueuedRequest, now_ms: int) -> None:  # noqa: ARG002
        """Take back a request that was started or running.

        It may wait until its deadline: the longest wait of its class counts from
        its arrival, is mostly over by now, and would cut an answer that has begun.
        """
        self._preempting.pop(request.request_id, None)
        self._add(request, request.deadline_ms)

    def next_start(
        self,
        pool: str,
        now_ms: int,
        may_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the request that starts next, if any may."""
        queue = self._pools.get(pool)
        request = None if queue is None else queue.take(now_ms, may_start)
        if request is not None:
            self._forget(request)
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request."""
        request = self._requests.get(request_id)
        if request is None:
            return None
        self._pools[request.pool].remove(request)
        self._forget(request)
        return request

    def expire(self, now_ms: int) -> list[ShedRequest]:
        """Remove what is past its deadline or its class's longest wait."""
        expired: list[ShedRequest] = []
        while self._give_up and self._give_up[0][0] <= now_ms:
            give_up_ms, request_id = heapq.heappop(self._give_up)
            if self._give_up_ms.get(request_id) != give_up_ms:
                # It has started since, and may have been taken back.
                continue
            request = self.remove(request_id)
            if request is None:
                continue
            is_past = request.deadline_ms <= now_ms
            code = ResultCode.DEADLINE_PASSED if is_past else ResultCode.OVERLOADED
            expired.append(self._shed(request, code))
        return expired

    def waiting(self, pool: str) -> dict[int, int]:
        """Return how many requests wait, by tier."""
        queue = self._pools.get(pool)
        return {} if queue is None else queue.waiting()

    def pools(self) -> list[str]:
        """Return the pools with waiting requests."""
        return [pool for pool, queue in self._pools.items() if queue.request_count]

    def preemption(
        self,
        pool: str,
        running: Sequence[RunningRequest],
        now_ms: int,
        may_start: Callable[[QueuedRequest], bool] | None = None,
    ) -> str | None:
        """Return the running request to preempt, if any.

        It is of a lower tier than what waits, resumable, of the lowest such
        tier and there the youngest, which has the least to lose.

        :param may_start: says whether the waiting request could start if it
            had an endpoint, so that nothing is preempted for an organisation at
            its limits.
        """
        queue = self._pools.get(pool)
        head = None if queue is None else queue.highest_head(now_ms)
        if queue is None or head is None or not self._is_urgent(head, now_ms):
            return None
        if may_start is not None and not may_start(head):
            return None
        self._drop_preempted(now_ms)
        waiting = sum(n for tier, n in queue.waiting().items() if tier <= head.tier)
        pending = sum(entry.request_id in self._preempting for entry in running)
        victims = [
            entry
            for entry in running
            if entry.resumable
            and entry.tier > head.tier
            and entry.request_id not in self._preempting
        ]
        if not victims or pending >= waiting:
            return None
        victim = max(victims, key=lambda entry: (entry.tier, entry.started_ms))
        self._preempting[victim.request_id] = now_ms
        return victim.request_id

    def _is_urgent(self, request: QueuedRequest, now_ms: int) -> bool:
        waited_ms = now_ms - request.arrival_ms
        patience_ms = self.settings.preempt_after_share * request.first_token_target_ms
        return not request.patient and patience_ms <= waited_ms

    def _drop_preempted(self, now_ms: int) -> None:
        self._preempting = {
            request_id: asked_ms
            for request_id, asked_ms in self._preempting.items()
            if now_ms - asked_ms < PREEMPTION_MS
        }

    def _class_limits(self, request: QueuedRequest) -> ClassLimits | None:
        limits = self._limits.get(request.organisation)
        return None if limits is None else limits.classes.get(request.class_name)

    def _weight(self, organisation: str) -> float:
        limits = self._limits.get(organisation)
        return DEFAULT_WEIGHT if limits is None else max(limits.pool_share, MIN_WEIGHT)

    def _is_class_full(self, request: QueuedRequest) -> bool:
        limits = self._class_limits(request)
        count = self._class_counts.get((request.organisation, request.class_name), 0)
        return limits is not None and count >= limits.queue_requests

    def _predict_lateness_ms(
        self, request: QueuedRequest, predicted_wait_ms: float | None
    ) -> float:
        """Return by how much a newcomer to be shed would miss its target, or 0.

        A pool where nothing waits starts the newcomer at once; refusing it
        there would leave capacity unused, however slow the endpoints are.
        """
        queue = self._pools.get(request.pool)
        if queue is None or request.patient:
            return 0.0
        wait_ms = queue.estimate_wait_ms(request, self._weight(request.organisation))
        if wait_ms <= 0:
            return 0.0
        first_token_ms = wait_ms + (predicted_wait_ms or 0.0)
        if first_token_ms <= self._choose_limit_ms(request):
            return 0.0
        return first_token_ms - request.first_token_target_ms

    def _choose_limit_ms(self, request: QueuedRequest) -> float:
        """Return the estimate from which on a newcomer is shed.

        It lies between its target, beyond which the answer is late, and its
        longest wait, beyond which there is none.
        """
        target_ms = request.first_token_target_ms
        limits = self._class_limits(request)
        if limits is None:
            return target_ms
        span_ms = max(0, limits.queue_wait_ms - target_ms)
        return target_ms + self.settings.late_share * span_ms

    def _make_room(self, request: QueuedRequest) -> tuple[ShedRequest, ...] | None:
        """Evict what has to go for *request*, or return ``None``.

        Nothing is evicted unless that makes enough room.
        """
        lower_bytes = sum(
            size for tier, size in self._tier_bytes.items() if tier > request.tier
        )
        used_bytes = sum(self._tier_bytes.values())
        if used_bytes - lower_bytes + request.size_bytes > self.settings.max_bytes:
            return None
        shed: list[ShedRequest] = []
        while not self._fits(request):
            victim = self._choose_victim(request)
            if victim is None:
                return None
            self.remove(victim.request_id)
            shed.append(self._shed(victim, ResultCode.QUEUE_FULL))
        return tuple(shed)

    def _fits(self, request: QueuedRequest) -> bool:
        used_bytes = sum(self._tier_bytes.values())
        return (
            len(self._requests) < self.settings.max_requests
            and used_bytes + request.size_bytes <= self.settings.max_bytes
        )

    def _choose_victim(self, request: QueuedRequest) -> QueuedRequest | None:
        """Return what has to go: lowest tier, longest flow, latest arrival."""
        lowest = max((tier for tier, count in self._tier_counts.items() if count))
        if lowest < request.tier:
            return None
        flow = max(self._flows(lowest), key=_length_by_weight)
        if lowest > request.tier:
            return flow.latest()
        own_length = (self._count_own(request) + 1) / self._weight(request.organisation)
        if (
            flow.organisation == request.organisation
            or _length_by_weight(flow) <= own_length
        ):
            return None
        return flow.latest()

    def _flows(self, tier: int) -> Iterator[OrganisationFlow]:
        for queue in self._pools.values():
            if tier in queue.tiers:
                yield from queue.tiers[tier].flows.values()

    def _count_own(self, request: QueuedRequest) -> int:
        return sum(
            flow.request_count
            for flow in self._flows(request.tier)
            if flow.organisation == request.organisation
        )

    def _add(self, request: QueuedRequest, give_up_ms: int) -> None:
        queue = self._pools.get(request.pool)
        if queue is None:
            queue = PoolQueue(self.settings.guaranteed_one_in)
            self._pools[request.pool] = queue
        weight = self._weight(request.organisation)
        share = max(weight * request.minimum_share, self.settings.guarantee_floor)
        queue.add(request, weight, min(share, 1.0))
        self._requests[request.request_id] = request
        self._count(request, 1)
        self._give_up_ms[request.request_id] = give_up_ms
        heapq.heappush(self._give_up, (give_up_ms, request.request_id))

    def _find_give_up_ms(self, request: QueuedRequest) -> int:
        limits = self._class_limits(request)
        if limits is None:
            return request.deadline_ms
        longest_ms = request.arrival_ms + limits.queue_wait_ms
        return min(request.deadline_ms, longest_ms)

    def _forget(self, request: QueuedRequest) -> None:
        del self._requests[request.request_id]
        del self._give_up_ms[request.request_id]
        self._count(request, -1)

    def _count(self, request: QueuedRequest, step: int) -> None:
        tier, size = request.tier, step * request.size_bytes
        key = (request.organisation, request.class_name)
        self._tier_counts[tier] = self._tier_counts.get(tier, 0) + step
        self._tier_bytes[tier] = self._tier_bytes.get(tier, 0) + size
        self._class_counts[key] = self._class_counts.get(key, 0) + step

    def _refuse(self, code: ResultCode, wait_ms: float) -> OfferOutcome:
        retry_after_ms = choose_retry_after_ms(self.settings, wait_ms, self._rng)
        return OfferOutcome(False, code, retry_after_ms)

    def _shed(self, request: QueuedRequest, code: ResultCode) -> ShedRequest:
        retry_after_ms = choose_retry_after_ms(
            self.settings, request.first_token_target_ms, self._rng
        )
        return ShedRequest(request.request_id, code, retry_after_ms)


def _length_by_weight(flow: OrganisationFlow) -> float:
    return flow.request_count / flow.weight
