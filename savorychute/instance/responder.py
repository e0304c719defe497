"""Respond to callers and release what their requests hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import FinishResponse, RefuseRequest, SendChunk, StartResponse
from savorychute.instance.request_outcome import RequestOutcome
from savorychute.ran import Ran
from savorychute.requests.continuation_handle import ContinuationHandle
from savorychute.requests.request_state import RequestState
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.actions import Action
    from savorychute.instance.explanations import Explanations
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.tracked_request import TrackedRequest

    HandleKeyOutcomes = Callable[[Sequence[object], int], list[Action]]

#: A response that is not streamed is buffered up to this size, so that the
#: request can be retried at another endpoint if its endpoint fails half-way.
MAX_BUFFERED_BYTES = 256 * 1024
STREAM_CONTENT_TYPE = 'text/event-stream'


class Responder:
    """Sends responses; the only class that ends requests.

    :param parts: the parts of the instance.
    :param explanations: stores the histories of requests that have ended.
    """

    def __init__(self, parts: InstanceParts, explanations: Explanations) -> None:
        self._parts = parts
        self._explanations = explanations
        self._handle_key_outcomes: HandleKeyOutcomes | None = None

    def set_key_outcome_handler(self, handle_key_outcomes: HandleKeyOutcomes) -> None:
        """Set the function that handles the outcomes of the key manager.

        :param handle_key_outcomes: called with the outcomes and the time.
        """
        self._handle_key_outcomes = handle_key_outcomes

    def start_response(self, tracked: TrackedRequest) -> list[Action]:
        """Send the head of a response, once.

        :param tracked: a request with a started attempt.
        """
        attempt = tracked.attempt
        if attempt is None or tracked.response_started:
            return []
        tracked.response_started = True
        content_type = attempt.content_type
        if tracked.request.stream:
            content_type = STREAM_CONTENT_TYPE
        return [
            StartResponse(
                request_id=tracked.request_id,
                status=attempt.status,
                attempt_id=attempt.attempt_id,
                endpoint=attempt.endpoint,
                handle=self._make_handle(tracked),
                content_type=content_type,
            )
        ]

    def send_stream_chunk(
        self, tracked: TrackedRequest, offset: int, token_count: int, data: bytes
    ) -> list[Action]:
        """Send tokens of a stream to the caller.

        :param offset: the first token's offset in the whole response.
        """
        actions = self.start_response(tracked)
        actions.append(SendChunk(tracked.request_id, offset, data, token_count))
        tracked.delivered_tokens = offset + token_count
        if tracked.resumable or tracked.holds_key:
            tracked.delivered_text += data
        return actions

    def buffer_or_send(self, tracked: TrackedRequest, data: bytes) -> list[Action]:
        """Buffer a part of a response that is not streamed, or send it.

        :param data: the next bytes of the body.
        """
        if tracked.response_started:
            return [SendChunk(tracked.request_id, 0, data)]
        tracked.buffer += data
        if len(tracked.buffer) <= MAX_BUFFERED_BYTES:
            return []
        return self._flush_buffer(tracked)

    def finish(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """End a request whose response is complete."""
        attempt = tracked.attempt
        body = self._copy_response_body(tracked)
        actions: list[Action] = []
        if not tracked.request.stream:
            actions += self._flush_buffer(tracked)
        actions += self.start_response(tracked)
        actions.append(FinishResponse(tracked.request_id))
        if tracked.caller_left:
            actions = []
        tracked.lifecycle.transition(RequestState.ANSWERED, now_ms, 'whole answer')
        if tracked.holds_key and attempt is not None:
            settlement_outcomes = self._parts.keys.finish(
                tracked.request_id, attempt.status, attempt.content_type, body, now_ms
            )
            actions += self._handle_outcomes(settlement_outcomes, now_ms)
        self._close(tracked, ResultCode.OK, Ran.RAN, now_ms)
        return actions

    def give_up(
        self,
        tracked: TrackedRequest,
        code: ResultCode,
        message: str,
        now_ms: int,
        retry_after_ms: int = 0,
        location: str = '',
        ran: Ran = Ran.NOT_RUN,
    ) -> list[Action]:
        """End a request at once without a complete response.

        The caller gets 'not run' only if the request's state machine permits
        this claim, whatever *ran* says, so that the claim is never false.

        :param code: the reason.
        :param message: the error message for the caller.
        :param ran: whether the request ran; ``NOT_RUN`` becomes ``UNKNOWN`` if
            the state machine does not permit the claim.
        """
        if ran is Ran.NOT_RUN and not tracked.lifecycle.can_claim_not_run:
            ran = Ran.UNKNOWN
        attempt = tracked.attempt
        handle = self._make_handle(tracked)
        settlement_actions = self._settle_key(tracked, ran, code, now_ms)
        state = RequestState.NOT_RUN if ran is Ran.NOT_RUN else RequestState.UNKNOWN
        tracked.lifecycle.transition(state, now_ms, f'{code.name}: {message}')
        end_action: Action
        if tracked.response_started:
            end_action = FinishResponse(tracked.request_id, code, ran, message, handle)
        else:
            end_action = RefuseRequest(
                request_id=tracked.request_id,
                code=code,
                ran=ran,
                message=message,
                retry_after_ms=retry_after_ms,
                location=location,
                attempt_id=attempt.attempt_id if attempt else '',
                endpoint=attempt.endpoint if attempt else '',
                handle=handle,
            )
        self._close(tracked, code, ran, now_ms)
        if tracked.caller_left:
            return settlement_actions
        return [end_action, *settlement_actions]

    def drop(self, tracked: TrackedRequest, reason: str, now_ms: int) -> list[Action]:
        """End a request whose caller has left."""
        ran = Ran.NOT_RUN if tracked.lifecycle.can_claim_not_run else Ran.UNKNOWN
        code = ResultCode.CALLER_LEFT
        settlement_actions = self._settle_key(tracked, ran, code, now_ms)
        tracked.lifecycle.transition(RequestState.CANCELLED, now_ms, reason)
        self._close(tracked, code, ran, now_ms)
        return settlement_actions

    def close_replay(self, tracked: TrackedRequest, now_ms: int) -> None:
        """End a request that got the stored outcome of its key's single run."""
        tracked.lifecycle.transition(
            RequestState.ANSWERED, now_ms, 'kept outcome of the key'
        )
        self._close(tracked, ResultCode.OK, Ran.RAN, now_ms)

    def _copy_response_body(self, tracked: TrackedRequest) -> bytes | None:
        """Return the whole response body for later requests with the same key.

        Parts that were already sent are no longer in the buffer, and the rest
        must never be stored as if it were the whole body.
        """
        if tracked.request.stream:
            text = tracked.delivered_text
            return bytes(text) if len(text) <= MAX_BUFFERED_BYTES else None
        return None if tracked.response_started else bytes(tracked.buffer)

    def _flush_buffer(self, tracked: TrackedRequest) -> list[Action]:
        actions = self.start_response(tracked)
        if tracked.buffer:
            actions.append(SendChunk(tracked.request_id, 0, bytes(tracked.buffer)))
            tracked.buffer.clear()
        return actions

    def _make_handle(self, tracked: TrackedRequest) -> str:
        attempt = tracked.attempt
        if not tracked.resumable or attempt is None:
            return ''
        handle = ContinuationHandle(
            attempt.endpoint, attempt.stream_id, tracked.delivered_tokens
        )
        return handle.encode()

    def _settle_key(
        self, tracked: TrackedRequest, ran: Ran, code: ResultCode, now_ms: int
    ) -> list[Action]:
        """Report to the key manager how a key's run ended, or that it did not run."""
        keys = self._parts.keys
        if not tracked.holds_key:
            keys.remove_waiter(tracked.request_id)
            return []
        if ran is Ran.NOT_RUN:
            settlement_outcomes = keys.settle_not_run(tracked.request_id, now_ms, code)
        else:
            settlement_outcomes = keys.settle_unknown(tracked.request_id, now_ms)
        return self._handle_outcomes(settlement_outcomes, now_ms)

    def _handle_outcomes(self, outcomes: Sequence[object], now_ms: int) -> list[Action]:
        if self._handle_key_outcomes is None:
            return []
        return self._handle_key_outcomes(outcomes, now_ms)

    def _close(
        self, tracked: TrackedRequest, code: ResultCode, ran: Ran, now_ms: int
    ) -> None:
        """Release all resources of an ended request and record its outcome."""
        parts = self._parts
        attempt = tracked.attempt
        if attempt is not None:
            parts.credits.release(attempt.attempt_id, now_ms)
            parts.quarantine.record_end(
                tracked.fingerprint,
                attempt.attempt_id,
                code is ResultCode.OK,
                now_ms,
            )
            parts.endpoint_table.record_finish(
                attempt.attempt_id, code is ResultCode.OK, now_ms
            )
        parts.limiter.finish(tracked.request_id, tracked.delivered_tokens, now_ms)
        parts.admission.remove(tracked.request_id)
        parts.request_table.remove(tracked)
        if code is ResultCode.OK and tracked.expects_tokens:
            parts.lengths.observe(
                tracked.limits.organisation,
                tracked.limits.name,
                tracked.delivered_tokens,
            )
        outcome = self._make_outcome(tracked, code, ran, now_ms)
        self._explanations.store(tracked, outcome)
        parts.events.emit('request-finished', outcome)

    def _make_outcome(
        self, tracked: TrackedRequest, code: ResultCode, ran: Ran, now_ms: int
    ) -> RequestOutcome:
        lifecycle = tracked.lifecycle
        limits = tracked.limits
        duration_ms = now_ms - lifecycle.received_ms
        first_token_ms = -1
        if tracked.first_token_ms >= 0:
            first_token_ms = tracked.first_token_ms - lifecycle.received_ms
        gap_count = max(1, tracked.delivered_tokens - 1)
        token_gap_ms = tracked.gap_sum_ms / gap_count
        is_success = code is ResultCode.OK
        measured_ms = first_token_ms if first_token_ms >= 0 else duration_ms
        is_in_time = measured_ms <= limits.first_token_target_ms
        is_gap_in_target = token_gap_ms <= limits.token_gap_target_ms
        return RequestOutcome(
            request_id=tracked.request_id,
            organisation=limits.organisation,
            class_name=limits.name,
            tier=limits.tier,
            pool=tracked.pool,
            code=code,
            ran=ran,
            first_token_ms=first_token_ms,
            duration_ms=duration_ms,
            token_gap_ms=token_gap_ms,
            tokens=tracked.delivered_tokens,
            wasted_tokens=tracked.wasted_tokens,
            attempts=tracked.attempt_count,
            target_met=is_success and is_in_time and is_gap_in_target,
            weight=limits.weight,
        )
