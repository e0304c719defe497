"""One tier of one pool: organisations in fair order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from savorychute.admission.organisation_flow import OrganisationFlow

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.admission.queued_request import QueuedRequest

#: Finish tags of idle organisations are dropped when there are more than these.
MAX_IDLE_TAGS = 64


class TierQueue:
    """Start-time fair queuing between organisations, by their shares of the pool.

    Each start moves its organisation's tag on by expected tokens over weight, and
    the smallest tag is served.  Source: Goyal, Vin and Cheng, "Start-time fair
    queuing" (SIGCOMM 1996).  A start costs O(log organisations), and more only
    for organisations that are at their own limits.

    :param tier: the tier.
    """

    def __init__(self, tier: int) -> None:
        self.tier = tier
        self.flows: dict[str, OrganisationFlow] = {}
        self.request_count = 0
        self._virtual = 0.0
        self._order: list[tuple[float, str]] = []
        self._idle_tags: dict[str, float] = {}

    def add(self, request: QueuedRequest, weight: float) -> bool:
        """Let *request* wait; return whether its class had none waiting.

        :param request: of this tier.
        :param weight: the organisation's share against others.
        """
        flow = self.flows.get(request.organisation)
        if flow is None:
            flow = self._open_flow(request.organisation, weight)
        flow.weight = weight
        self.request_count += 1
        return len(flow.add(request)) == 1

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that waits here.

        :param request: the request.
        """
        flow = self.flows[request.organisation]
        flow.remove(request)
        self.request_count -= 1
        self._close_if_empty(flow)

    def head(self, now_ms: int) -> QueuedRequest | None:
        """Return the request that would start first.

        :param now_ms: the time.
        """
        while self._order:
            tag, organisation = self._order[0]
            flow = self.flows.get(organisation)
            if flow is not None and flow.start_tag == tag:
                return flow.head(now_ms)
            heapq.heappop(self._order)
        return None

    def take(
        self, now_ms: int, may_start: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the first request that may start.

        :param now_ms: the time.
        :param may_start: says whether a request may start now.
        """
        refused: list[OrganisationFlow] = []
        request = None
        while self._order and request is None:
            tag, organisation = heapq.heappop(self._order)
            flow = self.flows.get(organisation)
            if flow is None or flow.start_tag != tag:
                continue
            request = flow.take(now_ms, may_start)
            if request is None:
                refused.append(flow)
            else:
                self._virtual = max(self._virtual, tag)
                self._charge(flow, request)
        self._put_back(refused, is_limited=request is not None)
        return request

    def take_class(
        self,
        organisation: str,
        class_name: str,
        now_ms: int,
        may_start: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        """Remove and return the first request of one class that may start.

        :param organisation: the organisation.
        :param class_name: the class.
        :param now_ms: the time.
        :param may_start: says whether a request may start now.
        """
        flow = self.flows.get(organisation)
        if flow is None:
            return None
        request = flow.take_class(class_name, now_ms, may_start)
        if request is not None:
            self._charge(flow, request)
        return request

    def _open_flow(self, organisation: str, weight: float) -> OrganisationFlow:
        start_tag = max(self._virtual, self._idle_tags.pop(organisation, 0.0))
        flow = OrganisationFlow(organisation, weight, start_tag)
        self.flows[organisation] = flow
        heapq.heappush(self._order, (start_tag, organisation))
        return flow

    def _charge(self, flow: OrganisationFlow, request: QueuedRequest) -> None:
        """Move the flow on by what *request* costs."""
        flow.is_limited = False
        flow.start_tag += max(1, request.expected_tokens) / flow.weight
        self.request_count -= 1
        if flow.request_count:
            heapq.heappush(self._order, (flow.start_tag, flow.organisation))
        self._close_if_empty(flow)

    def _put_back(self, refused: list[OrganisationFlow], *, is_limited: bool) -> None:
        """Queue flows again that could not start.

        An organisation held back by its own limits must not save up turns and then
        shut out the others, so its tag moves on with the served ones.
        """
        for flow in refused:
            flow.is_limited = flow.is_limited or is_limited
            flow.start_tag = max(flow.start_tag, self._virtual)
            heapq.heappush(self._order, (flow.start_tag, flow.organisation))

    def _close_if_empty(self, flow: OrganisationFlow) -> None:
        if flow.request_count:
            return
        del self.flows[flow.organisation]
        self._idle_tags[flow.organisation] = flow.start_tag
        if len(self._idle_tags) > MAX_IDLE_TAGS:
            self._idle_tags = {
                organisation: tag
                for organisation, tag in self._idle_tags.items()
                if tag > self._virtual
            }
