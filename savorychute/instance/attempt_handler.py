"""Track attempts at endpoints and retry after a failure."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from savorychute.actions import CancelAttempt
from savorychute.inputs import AttemptFailed
from savorychute.ran import NOT_RUN_STATUSES
from savorychute.requests.continuation_handle import ContinuationHandle
from savorychute.requests.request_state import RequestState
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs import (
        AttemptChunk,
        AttemptEnded,
        AttemptPaused,
        AttemptSent,
        AttemptStarted,
    )
    from savorychute.instance.attempt import Attempt
    from savorychute.instance.dispatcher import Dispatcher
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.queue_handler import QueueHandler
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


class AttemptHandler:
    """Handles the host's inputs about attempts.

    An input about an attempt that is no longer the current one of its request
    finds no request and is dropped, so late chunks never reach a caller.

    :param parts: the parts of the instance.
    :param responder: ends requests and passes on their responses.
    :param dispatcher: starts queued requests after an attempt has ended.
    :param queue_handler: requeues requests for a retry.
    """

    def __init__(
        self,
        parts: InstanceParts,
        responder: Responder,
        dispatcher: Dispatcher,
        queue_handler: QueueHandler,
    ) -> None:
        self._parts = parts
        self._responder = responder
        self._dispatcher = dispatcher
        self._queue_handler = queue_handler

    def record_sent(self, sent: AttemptSent, now_ms: int) -> list[Action]:
        """Record that the request may have run from now on."""
        tracked = self._parts.request_table.find_by_attempt(sent.attempt_id)
        if tracked is None or tracked.attempt is None:
            return [CancelAttempt(sent.attempt_id)]
        tracked.attempt.sent = True
        tracked.attempt.last_progress_ms = now_ms
        tracked.lifecycle.transition(
            RequestState.SENDING,
            now_ms,
            f'sending to {tracked.attempt.endpoint}',
            sent.attempt_id,
        )
        return []

    def record_started(self, started: AttemptStarted, now_ms: int) -> list[Action]:
        """Record the head of the endpoint's response.

        An endpoint's own status is not passed on if it promises that the request did
        not run, because the endpoint has not stated that.
        """
        tracked = self._parts.request_table.find_by_attempt(started.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        attempt = tracked.attempt
        attempt.status = started.status
        attempt.content_type = started.content_type
        attempt.last_progress_ms = now_ms
        is_server_error = started.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if started.status in NOT_RUN_STATUSES or (
            tracked.expects_tokens and is_server_error
        ):
            reason = f'endpoint answered {started.status}'
            return self._abandon(attempt, reason, now_ms)
        attempt.started = True
        tracked.lifecycle.transition(
            RequestState.RUNNING,
            now_ms,
            f'status {started.status}',
            started.attempt_id,
        )
        return []

    def record_paused(self, paused: AttemptPaused, now_ms: int) -> list[Action]:
        """Record that an attempt makes no progress because its caller is slow.

        If the pause counted as an unresponsive endpoint, the attempt of one slow
        caller would be abandoned and retried elsewhere, and one endpoint after
        another would be ejected.  The pause counts neither towards the timeout
        nor as a gap between tokens.
        """
        tracked = self._parts.request_table.find_by_attempt(paused.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        tracked.attempt.last_progress_ms = now_ms
        if tracked.last_token_ms >= 0:
            tracked.last_token_ms = now_ms
        return []

    def handle_chunk(self, chunk: AttemptChunk, now_ms: int) -> list[Action]:
        """Pass on a chunk of the response if it has the expected offset.

        A repeated chunk is dropped.  A gap means that tokens were lost in
        transit.  Passing on the tokens after it would corrupt the response, so
        the attempt is abandoned instead.
        """
        tracked = self._parts.request_table.find_by_attempt(chunk.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        attempt = tracked.attempt
        end_offset = chunk.offset + chunk.token_count
        if end_offset <= attempt.next_offset and chunk.token_count > 0:
            # The caller has these tokens already.  The response is generated
            # again from the start because its stream is lost and this instance
            # does not have the text that was delivered before.
            attempt.last_progress_ms = now_ms
            return []
        if chunk.offset != attempt.next_offset:
            reason = f'expected offset {attempt.next_offset}, got {chunk.offset}'
            return self._abandon(attempt, reason, now_ms)
        attempt.next_offset = end_offset
        self._record_progress(tracked, attempt, chunk.token_count, now_ms)
        if tracked.request.stream and attempt.status == HTTPStatus.OK:
            self._mark_streaming(tracked, now_ms)
            return self._responder.send_stream_chunk(
                tracked, chunk.offset, chunk.token_count, chunk.data
            )
        return self._responder.buffer_or_send(tracked, chunk.data)

    def end(self, ended: AttemptEnded, now_ms: int) -> list[Action]:
        """Finish a response that its endpoint reports as complete."""
        tracked = self._parts.request_table.find_by_attempt(ended.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        attempt = tracked.attempt
        is_stream = tracked.request.stream and attempt.status == HTTPStatus.OK
        if is_stream and ended.total_tokens != attempt.next_offset:
            reason = f'{attempt.next_offset} of {ended.total_tokens} tokens arrived'
            return self._abandon(attempt, reason, now_ms)
        if tracked.expects_tokens and not is_stream:
            tracked.delivered_tokens = ended.total_tokens
        self._parts.ejector.record_success(attempt.endpoint, now_ms)
        actions = self._responder.finish(tracked, now_ms)
        return actions + self._dispatcher.dispatch_pool(tracked.pool, now_ms)

    def fail(self, failed: AttemptFailed, now_ms: int) -> list[Action]:
        """Handle a failed attempt: retry the request or end it."""
        tracked = self._parts.request_table.find_by_attempt(failed.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        parts = self._parts
        attempt = tracked.attempt
        self._record_failure(tracked, attempt, failed, now_ms)
        proved_not_run = failed.refused or not failed.sent
        actions = self._retry_or_give_up(
            tracked, attempt, failed, proved_not_run, now_ms
        )
        if failed.crashed:
            # Broadcast immediately: other instances must know of the suspect
            # before its caller retries the request at one of them.
            actions += parts.quarantine.tick(parts.membership.view(), now_ms)
        actions += parts.leaving.broadcast(parts.membership.view())
        return actions + self._dispatcher.dispatch_pool(tracked.pool, now_ms)

    def _mark_streaming(self, tracked: TrackedRequest, now_ms: int) -> None:
        if tracked.lifecycle.state is not RequestState.STREAMING:
            tracked.lifecycle.transition(RequestState.STREAMING, now_ms, 'first token')

    def _record_progress(
        self, tracked: TrackedRequest, attempt: Attempt, tokens: int, now_ms: int
    ) -> None:
        attempt.last_progress_ms = now_ms
        attempt.tokens += tokens
        if tracked.first_token_ms < 0:
            tracked.first_token_ms = now_ms
        else:
            gap_ms = now_ms - tracked.last_token_ms
            tracked.gap_sum_ms += gap_ms
        tracked.last_token_ms = now_ms
        self._parts.endpoint_table.record_progress(attempt.attempt_id, tokens, now_ms)

    def _abandon(
        self, attempt: Attempt, reason: str, now_ms: int, is_unresponsive: bool = False
    ) -> list[Action]:
        """Cancel a running attempt and handle it as a failed one."""
        failed = AttemptFailed(
            attempt_id=attempt.attempt_id,
            sent=True,
            refused=False,
            leaving=False,
            crashed=False,
            reason=reason,
        )
        attempt.is_unresponsive = is_unresponsive
        cancel = CancelAttempt(attempt.attempt_id)
        return [cancel, *self.fail(failed, now_ms)]

    def abandon_unresponsive(self, attempt: Attempt, now_ms: int) -> list[Action]:
        """Abandon an attempt whose endpoint has become unresponsive."""
        unresponsive_ms = now_ms - attempt.last_progress_ms
        reason = f'endpoint silent for {unresponsive_ms} ms'
        return self._abandon(attempt, reason, now_ms, is_unresponsive=True)

    def _record_failure(
        self,
        tracked: TrackedRequest,
        attempt: Attempt,
        failed: AttemptFailed,
        now_ms: int,
    ) -> None:
        parts = self._parts
        tracked.failure_count += 1
        tracked.last_failure_ms = now_ms
        if not failed.paused:
            tracked.failed_endpoints.add(attempt.endpoint)
        if failed.leaving:
            parts.ejector.mark_leaving(attempt.endpoint, now_ms)
            parts.leaving.record(attempt.endpoint, now_ms)
        elif not failed.refused and _is_at_fault(tracked, attempt):
            is_unreachable = failed.crashed or not failed.sent
            parts.ejector.record_failure(attempt.endpoint, now_ms, is_unreachable)
        if failed.crashed and failed.sent:
            parts.quarantine.record_crash(
                tracked.fingerprint, attempt.attempt_id, attempt.endpoint, now_ms
            )
        else:
            parts.quarantine.record_end(
                tracked.fingerprint, attempt.attempt_id, False, now_ms
            )
        parts.credits.release(attempt.attempt_id, now_ms)
        parts.endpoint_table.record_finish(attempt.attempt_id, False, now_ms)
        parts.limiter.finish(tracked.request_id, 0, now_ms)
        if not tracked.request.stream:
            tracked.wasted_tokens += attempt.tokens
            if not tracked.response_started:
                tracked.buffer.clear()

    def _retry_or_give_up(
        self,
        tracked: TrackedRequest,
        attempt: Attempt,
        failed: AttemptFailed,
        proved_not_run: bool,
        now_ms: int,
    ) -> list[Action]:
        parts = self._parts
        if proved_not_run:
            tracked.lifecycle.mark_not_started(attempt.attempt_id)
        elif not tracked.limits.idempotent:
            return self._responder.give_up(
                tracked, ResultCode.OUTCOME_UNKNOWN, failed.reason, now_ms
            )
        if tracked.response_started and not tracked.resumable:
            return self._responder.give_up(
                tracked, ResultCode.ANSWER_TRUNCATED, failed.reason, now_ms
            )
        if not self._can_retry(tracked, failed, now_ms):
            return self._responder.give_up(
                tracked,
                ResultCode.RETRIES_EXHAUSTED,
                failed.reason,
                now_ms,
                parts.settings.refusal_retry_ms,
            )
        self._prepare_resume(tracked, attempt, failed)
        parts.request_table.detach_attempt(tracked)
        return self._queue_handler.requeue(tracked, now_ms)

    def _can_retry(
        self, tracked: TrackedRequest, failed: AttemptFailed, now_ms: int
    ) -> bool:
        """Return whether the retry budget and the deadline allow another attempt.

        An endpoint that reports that it is leaving, or that it has paused the
        stream, is not a failure of the pool, so the next attempt does not use the
        retry budget.
        """
        parts = self._parts
        if now_ms >= tracked.deadline_ms:
            return False
        if failed.leaving or failed.paused:
            return True
        settings = parts.settings
        is_unstarted = failed.refused or not failed.sent
        retry_limit = (
            settings.max_unrun_retries if is_unstarted else settings.max_retries
        )
        if tracked.failure_count > retry_limit:
            return False
        limits = parts.directory.limits.get(tracked.limits.organisation)
        if limits is None:
            return False
        if parts.retry_budget.try_spend(
            limits.organisation, limits.retry_share, now_ms
        ):
            return True
        if not is_unstarted:
            return False
        # No work was lost yet, so the request is delayed instead of refused.
        # The delay prevents a retry storm.
        tracked.start_after_ms = now_ms + settings.refusal_retry_ms
        return True

    def _prepare_resume(
        self, tracked: TrackedRequest, attempt: Attempt, failed: AttemptFailed
    ) -> None:
        """Prepare to resume the stream if only the connection broke.

        After a crash the engine has lost the stream, and after a failed resume
        the engine does not know it.  In both cases the response continues at
        another engine from the delivered text.  A stream that was paused to make
        room needs a credit like a new request.
        """
        if failed.paused:
            tracked.is_interrupted = False
            tracked.resume_handle = ContinuationHandle(
                attempt.endpoint, attempt.stream_id, tracked.delivered_tokens
            )
            return
        if not tracked.resumable or failed.crashed or attempt.resumed:
            return
        if not attempt.started or failed.refused or tracked.resume_count > 0:
            return
        if attempt.is_unresponsive:
            # A resume at this endpoint would only wait for the same timeout again.
            return
        tracked.resume_count += 1
        tracked.resume_handle = ContinuationHandle(
            attempt.endpoint, attempt.stream_id, tracked.delivered_tokens
        )


def _is_at_fault(tracked: TrackedRequest, attempt: Attempt) -> bool:
    """Return whether a failed attempt counts towards the ejection of its endpoint.

    A service may answer one caller with 429 or 503, and serve all others.
    """
    if attempt.status not in NOT_RUN_STATUSES:
        return True
    is_server_error = attempt.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return tracked.expects_tokens and is_server_error
