"""The waiting requests of one tier of one pool, in fair order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from savorychute.admission.organisation_flow import OrganisationFlow

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.admission.queued_request import QueuedRequest

#: Obsolete tags of idle organisations are dropped when there are more than this.
MAX_IDLE_TAGS = 64


class TierQueue:
    """Start-time fair queueing of organisations by their shares of the pool.

    The organisation with the smallest tag is served, and each start advances
    its tag by the expected tokens divided by its weight.  Source: Goyal, Vin
    and Cheng, "Start-time fair queuing" (SIGCOMM 1996).  A start costs
    O(log organisations), and more only for organisations that are at their own
    limits.

    :param tier: the tier.
    """

    def __init__(self, tier: int) -> None:
        self.tier = tier
        self.flows: dict[str, OrganisationFlow] = {}
        self.request_count = 0
        self._virtual_time = 0.0
        self._tag_heap: list[tuple[float, str]] = []
        self._idle_tags: dict[str, float] = {}

    def add(self, request: QueuedRequest, weight: float) -> bool:
        """Add *request*; return whether its class had no waiting requests.

        :param request: a request of this tier.
        :param weight: the share of its organisation relative to the others.
        """
        flow = self.flows.get(request.organisation)
        if flow is None:
            flow = self._open_flow(request.organisation, weight)
        flow.weight = weight
        self.request_count += 1
        return len(flow.add(request)) == 1

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request of this queue.

        :param request: the request.
        """
        flow = self.flows[request.organisation]
        flow.remove(request)
        self.request_count -= 1
        self._close_if_empty(flow)

    def head(self, now_ms: int) -> QueuedRequest | None:
        """Return the request that would start first.

        :param now_ms: the current time.
        """
        while self._tag_heap:
            tag, organisation = self._tag_heap[0]
            flow = self.flows.get(organisation)
            if flow is not None and flow.start_tag == tag:
                return flow.head(now_ms)
            heapq.heappop(self._tag_heap)
        return None

    def pop_startable(
        self, now_ms: int, can_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request that can start.

        :param now_ms: the current time.
        :param can_start: returns whether a request can start now.
        """
        blocked: list[OrganisationFlow] = []
        request = None
        while self._tag_heap and request is None:
            tag, organisation = heapq.heappop(self._tag_heap)
            flow = self.flows.get(organisation)
            if flow is None or flow.start_tag != tag:
                continue
            request = flow.pop_startable(now_ms, can_start)
            if request is None:
                blocked.append(flow)
            else:
                self._virtual_time = max(self._virtual_time, tag)
                self._charge(flow, request)
        self._requeue(blocked, is_limited=request is not None)
        return request

    def pop_startable_of_class(
        self,
        organisation: str,
        class_name: str,
        now_ms: int,
        can_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the first request of one class that can start.

        :param organisation: the organisation.
        :param class_name: the class.
        :param now_ms: the current time.
        :param can_start: returns whether a request can start now.
        """
        flow = self.flows.get(organisation)
        if flow is None:
            return None
        request = flow.pop_startable_of_class(class_name, now_ms, can_start)
        if request is not None:
            self._charge(flow, request)
        return request

    def _open_flow(self, organisation: str, weight: float) -> OrganisationFlow:
        start_tag = max(self._virtual_time, self._idle_tags.pop(organisation, 0.0))
        flow = OrganisationFlow(organisation, weight, start_tag)
        self.flows[organisation] = flow
        heapq.heappush(self._tag_heap, (start_tag, organisation))
        return flow

    def _charge(self, flow: OrganisationFlow, request: QueuedRequest) -> None:
        """Advance the tag of the flow by the cost of *request*."""
        flow.is_limited = False
        flow.start_tag += max(1, request.expected_tokens) / flow.weight
        self.request_count -= 1
        if flow.request_count:
            heapq.heappush(self._tag_heap, (flow.start_tag, flow.organisation))
        self._close_if_empty(flow)

    def _requeue(self, blocked: list[OrganisationFlow], *, is_limited: bool) -> None:
        """Queue the flows again that could not start.

        An organisation that is blocked by its own limits must not accumulate
        starts and then starve the others, so its tag advances with the virtual
        time of the served flows.
        """
        for flow in blocked:
            flow.is_limited = flow.is_limited or is_limited
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            heapq.heappush(self._tag_heap, (flow.start_tag, flow.organisation))

    def _close_if_empty(self, flow: OrganisationFlow) -> None:
        if flow.request_count:
            return
        del self.flows[flow.organisation]
        self._idle_tags[flow.organisation] = flow.start_tag
        if len(self._idle_tags) > MAX_IDLE_TAGS:
            self._idle_tags = {
                organisation: tag
                for organisation, tag in self._idle_tags.items()
                if tag > self._virtual_time
            }
