"""The default policy: strict tiers, fair organisations, guaranteed starts."""

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

#: How long a preempted request is expected to keep running.  After this time it
#: may be chosen again.
PREEMPTION_TIMEOUT_MS = 1_000


@ADMISSIONS.register('tiered')
class TieredAdmission:
    """The queue of one instance over all pools.

    Call :meth:`expire` before :meth:`next_start` when time has passed.

    :param settings: the limits of the queue.
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
        self._expiry_heap: list[tuple[int, str]] = []
        self._expiry_ms: dict[str, int] = {}
        self._preempted_at_ms: dict[str, int] = {}

    def set_limits(self, limits: dict[str, OrganisationLimits]) -> None:
        """Replace all limits; waiting requests keep the expiry time they have."""
        self._limits = limits

    def offer(
        self,
        request: QueuedRequest,
        predicted_wait_ms: float | None,
        now_ms: int,
        *,
        can_preempt: bool = False,
    ) -> OfferOutcome:
        """Add a request to the queue, or refuse it at once."""
        if request.deadline_ms <= now_ms:
            return self._refuse(ResultCode.DEADLINE_PASSED, 0.0)
        if self._is_class_full(request):
            return self._refuse(ResultCode.QUEUE_FULL, request.first_token_target_ms)
        if not can_preempt:
            late_ms = self._predict_lateness_ms(request, predicted_wait_ms)
            if late_ms > 0:
                return self._refuse(ResultCode.OVERLOADED, late_ms)
        shed = self._evict_for(request)
        if shed is None:
            return self._refuse(ResultCode.QUEUE_FULL, request.first_token_target_ms)
        self._add(request, self._find_expiry_ms(request))
        return OfferOutcome(True, shed=shed)

    def restore(self, request: QueuedRequest, now_ms: int) -> None:  # noqa: ARG002
        """Return a started or running request to the queue.

        It may wait until its deadline.  The maximum wait of its class counts
        from its arrival, has mostly elapsed by now, and would cut off an answer
        that has started.
        """
        self._preempted_at_ms.pop(request.request_id, None)
        self._add(request, request.deadline_ms)

    def next_start(
        self,
        pool: str,
        now_ms: int,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the request that starts next, if any can."""
        queue = self._pools.get(pool)
        request = None if queue is None else queue.pop_startable(now_ms, can_start)
        if request is not None:
            self._remove_entry(request)
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request."""
        request = self._requests.get(request_id)
        if request is None:
            return None
        self._pools[request.pool].remove(request)
        self._remove_entry(request)
        return request

    def expire(self, now_ms: int) -> list[ShedRequest]:
        """Remove requests past their deadline or the maximum wait of their class."""
        expired: list[ShedRequest] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            expiry_ms, request_id = heapq.heappop(self._expiry_heap)
            if self._expiry_ms.get(request_id) != expiry_ms:
                # The entry is stale: the request has started, and may have been
                # restored since.
                continue
            request = self.remove(request_id)
            if request is None:
                continue
            is_past_deadline = request.deadline_ms <= now_ms
            code = (
                ResultCode.DEADLINE_PASSED
                if is_past_deadline
                else ResultCode.OVERLOADED
            )
            expired.append(self._make_shed_request(request, code))
        return expired

    def waiting(self, pool: str) -> dict[int, int]:
        """Return the number of waiting requests by tier."""
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
        can_start: Callable[[QueuedRequest], bool] | None = None,
    ) -> str | None:
        """Return the id of the running request to preempt, if any.

        It is resumable and of a lower tier than the waiting request.  Of these
        the lowest tier is chosen, and within it the request that started last,
        because it loses the least work.

        :param can_start: returns whether the waiting request could start if it
            had an endpoint, so that nothing is preempted for an organisation at
            its limits.
        """
        queue = self._pools.get(pool)
        head = None if queue is None else queue.head_of_highest_tier(now_ms)
        if queue is None or head is None or not self._is_urgent(head, now_ms):
            return None
        if can_start is not None and not can_start(head):
            return None
        self._expire_preemptions(now_ms)
        waiting = sum(
            count for tier, count in queue.waiting().items() if tier <= head.tier
        )
        pending = sum(entry.request_id in self._preempted_at_ms for entry in running)
        victims = [
            entry
            for entry in running
            if entry.resumable
            and entry.tier > head.tier
            and entry.request_id not in self._preempted_at_ms
        ]
        if not victims or pending >= waiting:
            return None
        victim = max(victims, key=lambda entry: (entry.tier, entry.started_ms))
        self._preempted_at_ms[victim.request_id] = now_ms
        return victim.request_id

    def _is_urgent(self, request: QueuedRequest, now_ms: int) -> bool:
        waited_ms = now_ms - request.arrival_ms
        min_wait_ms = self.settings.preempt_after_share * request.first_token_target_ms
        return not request.patient and min_wait_ms <= waited_ms

    def _expire_preemptions(self, now_ms: int) -> None:
        self._preempted_at_ms = {
            request_id: requested_ms
            for request_id, requested_ms in self._preempted_at_ms.items()
            if now_ms - requested_ms < PREEMPTION_TIMEOUT_MS
        }

    def _class_limits(self, request: QueuedRequest) -> ClassLimits | None:
        limits = self._limits.get(request.organisation)
        return None if limits is None else limits.classes.get(request.class_name)

    def _weight_of(self, organisation: str) -> float:
        limits = self._limits.get(organisation)
        return DEFAULT_WEIGHT if limits is None else max(limits.pool_share, MIN_WEIGHT)

    def _is_class_full(self, request: QueuedRequest) -> bool:
        limits = self._class_limits(request)
        count = self._class_counts.get((request.organisation, request.class_name), 0)
        return limits is not None and count >= limits.queue_requests

    def _predict_lateness_ms(
        self, request: QueuedRequest, predicted_wait_ms: float | None
    ) -> float:
        """Return how late the first token of a new request would be, or 0.

        The result is positive only if the request is to be shed.  A pool
        without waiting requests starts a new one at once; refusing it there
        would leave capacity unused, however slow the endpoints are.
        """
        queue = self._pools.get(request.pool)
        if queue is None or request.patient:
            return 0.0
        wait_ms = queue.estimate_wait_ms(request, self._weight_of(request.organisation))
        if wait_ms <= 0:
            return 0.0
        first_token_ms = wait_ms + (predicted_wait_ms or 0.0)
        if first_token_ms <= self._find_shed_threshold_ms(request):
            return 0.0
        return first_token_ms - request.first_token_target_ms

    def _find_shed_threshold_ms(self, request: QueuedRequest) -> float:
        """Return the estimated time to first token above which a request is shed.

        It lies between the target of the request, beyond which the answer is
        late, and its maximum wait, beyond which it is not started.
        """
        target_ms = request.first_token_target_ms
        limits = self._class_limits(request)
        if limits is None:
            return target_ms
        span_ms = max(0, limits.queue_wait_ms - target_ms)
        return target_ms + self.settings.late_share * span_ms

    def _evict_for(self, request: QueuedRequest) -> tuple[ShedRequest, ...] | None:
        """Evict requests until *request* fits, or return ``None`` if it cannot.

        Nothing is evicted unless the request then fits.
        """
        lower_bytes = sum(
            size for tier, size in self._tier_bytes.items() if tier > request.tier
        )
        used_bytes = sum(self._tier_bytes.values())
        if used_bytes - lower_bytes + request.size_bytes > self.settings.max_bytes:
            return None
        shed: list[ShedRequest] = []
        while not self._fits(request):
            victim = self._choose_eviction(request)
            if victim is None:
                return None
            self.remove(victim.request_id)
            shed.append(self._make_shed_request(victim, ResultCode.QUEUE_FULL))
        return tuple(shed)

    def _fits(self, request: QueuedRequest) -> bool:
        used_bytes = sum(self._tier_bytes.values())
        return (
            len(self._requests) < self.settings.max_requests
            and used_bytes + request.size_bytes <= self.settings.max_bytes
        )

    def _choose_eviction(self, request: QueuedRequest) -> QueuedRequest | None:
        """Return the request to evict: lowest tier, longest flow, last arrival."""
        lowest_tier = max((tier for tier, count in self._tier_counts.items() if count))
        if lowest_tier < request.tier:
            return None
        flow = max(self._iterate_flows(lowest_tier), key=_weighted_length)
        if lowest_tier > request.tier:
            return flow.latest()
        own_length = (self._count_own_waiting(request) + 1) / self._weight_of(
            request.organisation
        )
        if (
            flow.organisation == request.organisation
            or _weighted_length(flow) <= own_length
        ):
            return None
        return flow.latest()

    def _iterate_flows(self, tier: int) -> Iterator[OrganisationFlow]:
        for queue in self._pools.values():
            if tier in queue.tiers:
                yield from queue.tiers[tier].flows.values()

    def _count_own_waiting(self, request: QueuedRequest) -> int:
        return sum(
            flow.request_count
            for flow in self._iterate_flows(request.tier)
            if flow.organisation == request.organisation
        )

    def _add(self, request: QueuedRequest, expiry_ms: int) -> None:
        queue = self._pools.get(request.pool)
        if queue is None:
            queue = PoolQueue(self.settings.guaranteed_one_in)
            self._pools[request.pool] = queue
        weight = self._weight_of(request.organisation)
        share = max(weight * request.minimum_share, self.settings.guarantee_floor)
        queue.add(request, weight, min(share, 1.0))
        self._requests[request.request_id] = request
        self._count(request, 1)
        self._expiry_ms[request.request_id] = expiry_ms
        heapq.heappush(self._expiry_heap, (expiry_ms, request.request_id))

    def _find_expiry_ms(self, request: QueuedRequest) -> int:
        limits = self._class_limits(request)
        if limits is None:
            return request.deadline_ms
        max_wait_end_ms = request.arrival_ms + limits.queue_wait_ms
        return min(request.deadline_ms, max_wait_end_ms)

    def _remove_entry(self, request: QueuedRequest) -> None:
        del self._requests[request.request_id]
        del self._expiry_ms[request.request_id]
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

    def _make_shed_request(
        self, request: QueuedRequest, code: ResultCode
    ) -> ShedRequest:
        retry_after_ms = choose_retry_after_ms(
            self.settings, request.first_token_target_ms, self._rng
        )
        return ShedRequest(request.request_id, code, retry_after_ms)


def _weighted_length(flow: OrganisationFlow) -> float:
    return flow.request_count / flow.weight
