"""The baseline admission policy: first come, first served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.admission.admission import ADMISSIONS
from savorychute.admission.offer_outcome import OfferOutcome
from savorychute.admission.retry_after import choose_retry_after_ms
from savorychute.admission.shed_request import ShedRequest
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from savorychute.admission.queued_request import QueuedRequest
    from savorychute.admission.running_request import RunningRequest
    from savorychute.admission.settings import AdmissionSettings
    from savorychute.contracts.organisation_limits import OrganisationLimits

#: How many requests are examined in the search for one that can start now.
LOOK_AHEAD_REQUESTS = 32


@ADMISSIONS.register('fifo')
class FifoAdmission:
    """One queue per pool in order of arrival, limited in count and bytes.

    It ignores tiers and fairness, sheds only new requests and never preempts.

    :param settings: the limits of the queue.
    :param rng: the source of jitter.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self.settings = settings
        self._rng = rng
        self._queues: dict[str, dict[str, QueuedRequest]] = {}
        self._pool_of: dict[str, str] = {}
        self._bytes = 0

    def set_limits(self, limits: dict[str, OrganisationLimits]) -> None:
        """Ignore the limits, because the baseline does not use contracts."""

    def offer(
        self,
        request: QueuedRequest,
        predicted_wait_ms: float | None,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
        *,
        can_preempt: bool = False,  # noqa: ARG002
    ) -> OfferOutcome:
        """Add the request if it fits."""
        fits_count = len(self._pool_of) < self.settings.max_requests
        fits_bytes = self._bytes + request.size_bytes <= self.settings.max_bytes
        if not (fits_count and fits_bytes):
            retry_after_ms = choose_retry_after_ms(self.settings, 0, self._rng)
            return OfferOutcome(False, ResultCode.QUEUE_FULL, retry_after_ms)
        self._queues.setdefault(request.pool, {})[request.request_id] = request
        self._pool_of[request.request_id] = request.pool
        self._bytes += request.size_bytes
        return OfferOutcome(True)

    def restore(self, request: QueuedRequest, now_ms: int) -> None:  # noqa: ARG002
        """Return a request to the front of its queue."""
        queue = self._queues.pop(request.pool, {})
        self._queues[request.pool] = {request.request_id: request, **queue}
        self._pool_of[request.request_id] = request.pool
        self._bytes += request.size_bytes

    def next_start(
        self,
        pool: str,
        now_ms: int,  # noqa: ARG002
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the oldest request that can start."""
        queue = self._queues.get(pool, {})
        for number, request in enumerate(queue.values()):
            if number >= LOOK_AHEAD_REQUESTS:
                return None
            if can_start(request):
                return self.remove(request.request_id)
        return None

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request."""
        pool = self._pool_of.pop(request_id, None)
        if pool is None:
            return None
        request = self._queues[pool].pop(request_id)
        self._bytes -= request.size_bytes
        if not self._queues[pool]:
            del self._queues[pool]
        return request

    def expire(self, now_ms: int) -> list[ShedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for queue in self._queues.values()
            for request in queue.values()
            if request.deadline_ms <= now_ms
        ]
        for request in expired:
            self.remove(request.request_id)
        return [
            ShedRequest(
                request.request_id,
                ResultCode.DEADLINE_PASSED,
                choose_retry_after_ms(self.settings, 0, self._rng),
            )
            for request in expired
        ]

    def waiting(self, pool: str) -> dict[int, int]:
        """Return the number of waiting requests by tier."""
        counts: dict[int, int] = {}
        for request in self._queues.get(pool, {}).values():
            counts[request.tier] = counts.get(request.tier, 0) + 1
        return counts

    def pools(self) -> list[str]:
        """Return the pools with waiting requests."""
        return list(self._queues)

    def preemption(
        self,
        pool: str,  # noqa: ARG002
        running: Sequence[RunningRequest],  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
        can_start: Callable[[QueuedRequest], bool] | None = None,  # noqa: ARG002
    ) -> str | None:
        """Preempt nothing."""
        return None
