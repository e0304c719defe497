"""Answer callers, and give back what their requests held."""

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
    from savorychute.instance.parts import Parts
    from savorychute.instance.tracked_request import TrackedRequest

    FollowKeys = Callable[[Sequence[object], int], list[Action]]

#: A non-streamed answer is held back up to this size, so that it can still be
#: fetched anew from elsewhere if its endpoint fails half-way.
HELD_BYTES = 256 * 1024
STREAM_CONTENT_TYPE = 'text/event-stream'


class Responder:
    """The only place that ends a request.

    :param parts: the parts of the instance.
    :param explanations: where the request's history is kept afterwards.
    """

    def __init__(self, parts: Parts, explanations: Explanations) -> None:
        self._parts = parts
        self._explanations = explanations
        self._follow_keys: FollowKeys | None = None

    def connect(self, follow_keys: FollowKeys) -> None:
        """Say who carries out what the key keeper returns.

        :param follow_keys: takes the keeper's outcomes and the time.
        """
        self._follow_keys = follow_keys

    def begin(self, tracked: TrackedRequest) -> list[Action]:
        """Send the head of an answer, once.

        :param tracked: a request with a started attempt.
        """
        attempt = tracked.attempt
        if attempt is None or tracked.responding:
            return []
        tracked.responding = True
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

    def pass_stream(
        self, tracked: TrackedRequest, offset: int, token_count: int, data: bytes
    ) -> list[Action]:
        """Pass tokens of a stream to the caller.

        :param offset: the first token's place in the whole answer.
        """
        actions = self.begin(tracked)
        actions.append(SendChunk(tracked.request_id, offset, data, token_count))
        tracked.delivered_tokens = offset + token_count
        if tracked.resumable or tracked.holds_key:
            tracked.delivered_text += data
        return actions

    def hold(self, tracked: TrackedRequest, data: bytes) -> list[Action]:
        """Keep a part of an answer that is not streamed, or pass it on.

        :param data: the next bytes of the body.
        """
        if tracked.responding:
            return [SendChunk(tracked.request_id, 0, data)]
        tracked.buffer += data
        if len(tracked.buffer) <= HELD_BYTES:
            return []
        return self._release_held(tracked)

    def finish(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """End a whole answer."""
        attempt = tracked.attempt
        body = self._copy_answer(tracked)
        actions: list[Action] = []
        if not tracked.request.stream:
            actions += self._release_held(tracked)
        actions += self.begin(tracked)
        actions.append(FinishResponse(tracked.request_id))
        if tracked.caller_left:
            actions = []
        tracked.life.transition(RequestState.ANSWERED, now_ms, 'whole answer')
        if tracked.holds_key and attempt is not None:
            settled = self._parts.keys.finish(
                tracked.request_id, attempt.status, attempt.content_type, body, now_ms
            )
            actions += self._follow(settled, now_ms)
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
        """End a request without a whole answer, at once.

        'Not run' is said only if the request's life permits it, whatever the
        one who gives up believes, so it is never said falsely.

        :param code: why.
        :param message: what the caller is told.
        :param ran: the best that may be said; the life may weaken it.
        """
        if ran is Ran.NOT_RUN and not tracked.life.can_claim_not_run:
            ran = Ran.UNKNOWN
        attempt = tracked.attempt
        handle = self._make_handle(tracked)
        settled = self._settle_key(tracked, ran, code, now_ms)
        state = RequestState.NOT_RUN if ran is Ran.NOT_RUN else RequestState.UNKNOWN
        tracked.life.transition(state, now_ms, f'{code.name}: {message}')
        answer: Action
        if tracked.responding:
            answer = FinishResponse(tracked.request_id, code, ran, message, handle)
        else:
            answer = RefuseRequest(
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
            return settled
        return [answer, *settled]

    def drop(self, tracked: TrackedRequest, reason: str, now_ms: int) -> list[Action]:
        """End a request whose caller is gone."""
        ran = Ran.NOT_RUN if tracked.life.can_claim_not_run else Ran.UNKNOWN
        code = ResultCode.CALLER_LEFT
        settled = self._settle_key(tracked, ran, code, now_ms)
        tracked.life.transition(RequestState.CANCELLED, now_ms, reason)
        self._close(tracked, code, ran, now_ms)
        return settled

    def close_replay(self, tracked: TrackedRequest, now_ms: int) -> None:
        """End a request that got the kept outcome of its key's one run."""
        tracked.life.transition(
            RequestState.ANSWERED, now_ms, 'kept outcome of the key'
        )
        self._close(tracked, ResultCode.OK, Ran.RAN, now_ms)

    def _copy_answer(self, tracked: TrackedRequest) -> bytes | None:
        """Return the whole answer for whoever asks again under the key.

        What was passed on already is in the buffer no more; the rest of it
        must never be kept as if it were the whole.
        """
        if tracked.request.stream:
            text = tracked.delivered_text
            return bytes(text) if len(text) <= HELD_BYTES else None
        return None if tracked.responding else bytes(tracked.buffer)

    def _release_held(self, tracked: TrackedRequest) -> list[Action]:
        actions = self.begin(tracked)
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
        """Tell the key keeper how the one run of a key ended, or that none did."""
        keys = self._parts.keys
        if not tracked.holds_key:
            keys.remove_waiter(tracked.request_id)
            return []
        if ran is Ran.NOT_RUN:
            settled = keys.settle_not_run(tracked.request_id, now_ms, code)
        else:
            settled = keys.settle_unknown(tracked.request_id, now_ms)
        return self._follow(settled, now_ms)

    def _follow(self, outcomes: Sequence[object], now_ms: int) -> list[Action]:
        if self._follow_keys is None:
            return []
        return self._follow_keys(outcomes, now_ms)

    def _close(
        self, tracked: TrackedRequest, code: ResultCode, ran: Ran, now_ms: int
    ) -> None:
        """Give back all that the request holds, whichever way it ended."""
        parts = self._parts
        attempt = tracked.attempt
        if attempt is not None:
            parts.credits.give_back(attempt.attempt_id, now_ms)
            parts.quarantine.record_end(
                tracked.fingerprint,
                attempt.attempt_id,
                code is ResultCode.OK,
                now_ms,
            )
            parts.book.record_finish(attempt.attempt_id, code is ResultCode.OK, now_ms)
        parts.limiter.finish(tracked.request_id, tracked.delivered_tokens, now_ms)
        parts.admission.remove(tracked.request_id)
        parts.table.remove(tracked)
        if code is ResultCode.OK and tracked.expects_tokens:
            parts.lengths.observe(
                tracked.limits.organisation,
                tracked.limits.name,
                tracked.delivered_tokens,
            )
        outcome = self._describe(tracked, code, ran, now_ms)
        self._explanations.keep(tracked, outcome)
        parts.events.emit('request-finished', outcome)

    def _describe(
        self, tracked: TrackedRequest, code: ResultCode, ran: Ran, now_ms: int
    ) -> RequestOutcome:
        life = tracked.life
        limits = tracked.limits
        duration_ms = now_ms - life.received_ms
        first_token_ms = -1
        if tracked.first_token_ms >= 0:
            first_token_ms = tracked.first_token_ms - life.received_ms
        gaps = max(1, tracked.delivered_tokens - 1)
        token_gap_ms = tracked.gap_sum_ms / gaps
        answered = code is ResultCode.OK
        measured_ms = first_token_ms if first_token_ms >= 0 else duration_ms
        in_time = measured_ms <= limits.first_token_target_ms
        steady = token_gap_ms <= limits.token_gap_target_ms
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
            target_met=answered and in_time and steady,
            weight=limits.weight,
        )
