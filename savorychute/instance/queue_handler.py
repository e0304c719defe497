"""Put requests into the queue and refuse those that are shed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.admission import QueuedRequest
from savorychute.instance.request_audit import record_quarantine
from savorychute.requests.request_state import RequestState
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.admission import ShedRequest
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


class QueueHandler:
    """Puts requests into the queue, for first attempts and for retries.

    :param parts: the parts of the instance.
    :param responder: ends requests that are refused or shed.
    """

    def __init__(self, parts: InstanceParts, responder: Responder) -> None:
        self._parts = parts
        self._responder = responder

    def enqueue(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Queue a request, or refuse it at once if it can't meet its targets.

        :param tracked: a request without an attempt.
        """
        if self._parts.quarantine.is_quarantined(tracked.fingerprint, now_ms):
            record_quarantine(self._parts, tracked, now_ms)
            code = ResultCode.QUARANTINED
            return self._responder.give_up(tracked, code, code.meaning, now_ms)
        if not tracked.limits.patient and not self._has_usable_endpoint(tracked.pool):
            code = ResultCode.NO_ENDPOINT
            return self._responder.give_up(
                tracked,
                code,
                f'no active endpoint serves {tracked.pool!r}',
                now_ms,
                self._parts.settings.refusal_retry_ms,
            )
        wait_ms = self._find_rate_wait_ms(tracked, now_ms)
        if wait_ms > tracked.limits.queue_wait_ms:
            return self._responder.give_up(
                tracked,
                ResultCode.RATE_LIMITED,
                f'the contract of {tracked.limits.organisation} permits no more now',
                now_ms,
                wait_ms,
            )
        outcome = self._parts.admission.offer(
            self._make_queued_request(tracked),
            self._predict_first_token_ms(tracked, now_ms),
            now_ms,
            can_preempt=self._can_preempt(tracked),
        )
        actions = self.refuse_shed(outcome.shed, now_ms)
        if not outcome.admitted:
            code = outcome.code or ResultCode.OVERLOADED
            actions += self._responder.give_up(
                tracked, code, code.meaning, now_ms, outcome.retry_after_ms
            )
            return actions
        tracked.lifecycle.transition(
            RequestState.QUEUED, now_ms, f'queued for {tracked.pool}'
        )
        return actions

    def requeue(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Queue a request again that was admitted before.

        It keeps its position by arrival time and is not checked for admission
        again: shedding it now would waste the work that was done for it.

        :param tracked: a request without an attempt.
        """
        if self._parts.quarantine.is_quarantined(tracked.fingerprint, now_ms):
            record_quarantine(self._parts, tracked, now_ms)
            code = ResultCode.QUARANTINED
            return self._responder.give_up(tracked, code, code.meaning, now_ms)
        self._parts.admission.restore(self._make_queued_request(tracked), now_ms)
        tracked.lifecycle.transition(
            RequestState.QUEUED, now_ms, f'queued for {tracked.pool}'
        )
        return []

    def refuse_shed(
        self, shed_requests: tuple[ShedRequest, ...], now_ms: int
    ) -> list[Action]:
        """Refuse requests that were removed from the queue before they ran.

        :param shed_requests: the requests that admission has shed.
        """
        actions: list[Action] = []
        for shed in shed_requests:
            tracked = self._parts.request_table.find(shed.request_id)
            if tracked is None:
                continue
            actions += self._responder.give_up(
                tracked, shed.code, shed.code.meaning, now_ms, shed.retry_after_ms
            )
        return actions

    def _has_usable_endpoint(self, pool: str) -> bool:
        """Return whether the configuration has a usable endpoint for the pool.

        An ejected endpoint counts, because it may be readmitted in time.
        """
        parts = self._parts
        return any(map(parts.directory.is_usable, parts.credits.candidates(pool)))

    def _can_preempt(self, tracked: TrackedRequest) -> bool:
        tier = tracked.limits.tier
        return any(
            other.limits.tier > tier and other.is_pausable
            for other in self._parts.request_table.running(tracked.pool)
        )

    def _find_rate_wait_ms(self, tracked: TrackedRequest, now_ms: int) -> int:
        return self._parts.limiter.check(
            tracked.limits.organisation, self._estimate_tokens(tracked), now_ms
        )

    def _predict_first_token_ms(
        self, tracked: TrackedRequest, now_ms: int
    ) -> float | None:
        if not tracked.expects_tokens:
            return None
        parts = self._parts
        return parts.router.predict(
            tracked.pool,
            parts.credits.candidates(tracked.pool),
            tracked.request.prompt_tokens,
            now_ms,
        )

    def _estimate_tokens(self, tracked: TrackedRequest) -> int:
        request = tracked.request
        if not tracked.expects_tokens:
            return 0
        limits = tracked.limits
        output_tokens = self._parts.lengths.expect(
            limits.organisation, limits.name, request.max_tokens
        )
        return request.prompt_tokens + output_tokens

    def _make_queued_request(self, tracked: TrackedRequest) -> QueuedRequest:
        limits = tracked.limits
        return QueuedRequest(
            request_id=tracked.request_id,
            organisation=limits.organisation,
            class_name=limits.name,
            tier=limits.tier,
            pool=tracked.pool,
            arrival_ms=tracked.lifecycle.received_ms,
            deadline_ms=tracked.deadline_ms,
            first_token_target_ms=limits.first_token_target_ms,
            size_bytes=len(tracked.request.body),
            expected_tokens=self._estimate_tokens(tracked),
            patient=limits.patient,
            weight=limits.weight,
            minimum_share=limits.minimum_share,
        )
