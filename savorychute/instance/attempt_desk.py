"""Follow attempts at endpoints, and go on when one fails."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from savorychute.actions import CancelAttempt
from savorychute.inputs import AttemptFailed
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
    from savorychute.instance.parts import Parts
    from savorychute.instance.queue_desk import QueueDesk
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


class AttemptDesk:
    """Receives what the host reports of attempts.

    News of an attempt that is no longer its request's current one is dropped
    by the look-up, so late and crossed answers reach nobody.

    :param parts: the parts of the instance.
    """

    def __init__(
        self,
        parts: Parts,
        responder: Responder,
        dispatcher: Dispatcher,
        queue_desk: QueueDesk,
    ) -> None:
        self._parts = parts
        self._responder = responder
        self._dispatcher = dispatcher
        self._queue_desk = queue_desk

    def note_sent(self, sent: AttemptSent, now_ms: int) -> list[Action]:
        """Note that from now on the request may have run."""
        tracked = self._parts.table.find_attempt(sent.attempt_id)
        if tracked is None or tracked.attempt is None:
            return [CancelAttempt(sent.attempt_id)]
        tracked.attempt.sent = True
        tracked.attempt.progress_ms = now_ms
        tracked.life.transition(
            RequestState.SENDING,
            now_ms,
            f'sending to {tracked.attempt.endpoint}',
            sent.attempt_id,
        )
        return []

    def note_started(self, started: AttemptStarted, now_ms: int) -> list[Action]:
        """Note the head of the endpoint's answer."""
        tracked = self._parts.table.find_attempt(started.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        attempt = tracked.attempt
        attempt.started = True
        attempt.status = started.status
        attempt.content_type = started.content_type
        attempt.progress_ms = now_ms
        is_failure = started.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if tracked.expects_tokens and is_failure:
            reason = f'endpoint answered {started.status}'
            return self._abandon(attempt, reason, now_ms)
        tracked.life.transition(
            RequestState.RUNNING,
            now_ms,
            f'status {started.status}',
            started.attempt_id,
        )
        return []

    def note_paused(self, paused: AttemptPaused, now_ms: int) -> list[Action]:
        """Note that an endpoint is silent because of a slow caller.

        Taken for the endpoint's own silence, one caller in a tunnel would get
        its attempt given up, run anew elsewhere, and endpoint after endpoint
        ejected.  Its time counts neither as silence nor as a gap.
        """
        tracked = self._parts.table.find_attempt(paused.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        tracked.attempt.progress_ms = now_ms
        if tracked.token_ms >= 0:
            tracked.token_ms = now_ms
        return []

    def pass_chunk(self, chunk: AttemptChunk, now_ms: int) -> list[Action]:
        """Pass a part of the answer on, if it is the one that is due.

        A repeated chunk is dropped.  A gap means that tokens were lost on the
        way; passing on what follows would give the caller a wrong answer, so
        the attempt is given up instead.
        """
        tracked = self._parts.table.find_attempt(chunk.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        attempt = tracked.attempt
        end = chunk.offset + chunk.token_count
        if end <= attempt.next_offset and chunk.token_count > 0:
            # The caller has these: the answer is made anew, because its stream
            # is gone and the text of its beginning is not known here.
            attempt.progress_ms = now_ms
            return []
        if chunk.offset != attempt.next_offset:
            reason = f'expected offset {attempt.next_offset}, got {chunk.offset}'
            return self._abandon(attempt, reason, now_ms)
        attempt.next_offset = end
        self._note_progress(tracked, attempt, chunk.token_count, now_ms)
        if tracked.request.stream and attempt.status == HTTPStatus.OK:
            self._enter_streaming(tracked, now_ms)
            return self._responder.pass_stream(
                tracked, chunk.offset, chunk.token_count, chunk.data
            )
        return self._responder.hold(tracked, chunk.data)

    def end(self, ended: AttemptEnded, now_ms: int) -> list[Action]:
        """Finish an answer that its endpoint says is whole."""
        tracked = self._parts.table.find_attempt(ended.attempt_id)
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
        return actions + self._dispatcher.pump(tracked.pool, now_ms)

    def fail(self, failed: AttemptFailed, now_ms: int) -> list[Action]:
        """Go on after an attempt failed: elsewhere, or with a final answer."""
        tracked = self._parts.table.find_attempt(failed.attempt_id)
        if tracked is None or tracked.attempt is None:
            return []
        parts = self._parts
        attempt = tracked.attempt
        self._note_failure(tracked, attempt, failed, now_ms)
        proved_not_run = failed.refused or not failed.sent
        actions = self._continue(tracked, attempt, failed, proved_not_run, now_ms)
        if failed.crashed:
            # At once: other instances have to know of a suspect before its
            # caller has sent it again to one of them.
            actions += parts.quarantine.tick(parts.membership.view(), now_ms)
        actions += parts.leaving.broadcast(parts.membership.view())
        return actions + self._dispatcher.pump(tracked.pool, now_ms)

    def _enter_streaming(self, tracked: TrackedRequest, now_ms: int) -> None:
        if tracked.life.state is not RequestState.STREAMING:
            tracked.life.transition(RequestState.STREAMING, now_ms, 'first token')

    def _note_progress(
        self, tracked: TrackedRequest, attempt: Attempt, tokens: int, now_ms: int
    ) -> None:
        attempt.progress_ms = now_ms
        attempt.tokens += tokens
        if tracked.first_token_ms < 0:
            tracked.first_token_ms = now_ms
        else:
            gap_ms = now_ms - tracked.token_ms
            tracked.gap_sum_ms += gap_ms
        tracked.token_ms = now_ms
        self._parts.book.record_progress(attempt.attempt_id, tokens, now_ms)

    def _abandon(
        self, attempt: Attempt, reason: str, now_ms: int, is_silent: bool = False
    ) -> list[Action]:
        """Give up an attempt that still runs, and go on as after a failure."""
        failed = AttemptFailed(
            attempt_id=attempt.attempt_id,
            sent=True,
            refused=False,
            leaving=False,
            crashed=False,
            reason=reason,
        )
        attempt.is_silent = is_silent
        cancel = CancelAttempt(attempt.attempt_id)
        return [cancel, *self.fail(failed, now_ms)]

    def abandon_silent(self, attempt: Attempt, now_ms: int) -> list[Action]:
        """Give up an attempt whose endpoint says nothing any more."""
        silent_ms = now_ms - attempt.progress_ms
        reason = f'endpoint silent for {silent_ms} ms'
        return self._abandon(attempt, reason, now_ms, is_silent=True)

    def _note_failure(
        self,
        tracked: TrackedRequest,
        attempt: Attempt,
        failed: AttemptFailed,
        now_ms: int,
    ) -> None:
        parts = self._parts
        tracked.failures += 1
        tracked.failed_ms = now_ms
        tracked.failed_endpoints.add(attempt.endpoint)
        if failed.leaving:
            parts.ejector.mark_leaving(attempt.endpoint, now_ms)
            parts.leaving.record(attempt.endpoint, now_ms)
        elif not failed.refused:
            is_gone = failed.crashed or not failed.sent
            parts.ejector.record_failure(attempt.endpoint, now_ms, is_gone)
        if failed.crashed and failed.sent:
            parts.quarantine.record_crash(
                tracked.fingerprint, attempt.attempt_id, attempt.endpoint, now_ms
            )
        else:
            parts.quarantine.record_end(
                tracked.fingerprint, attempt.attempt_id, False, now_ms
            )
        parts.credits.give_back(attempt.attempt_id, now_ms)
        parts.book.record_finish(attempt.attempt_id, False, now_ms)
        parts.limiter.finish(tracked.request_id, 0, now_ms)
        if not tracked.request.stream:
            tracked.wasted_tokens += attempt.tokens
            if not tracked.responding:
                tracked.buffer.clear()

    def _continue(
        self,
        tracked: TrackedRequest,
        attempt: Attempt,
        failed: AttemptFailed,
        proved_not_run: bool,
        now_ms: int,
    ) -> list[Action]:
        parts = self._parts
        if proved_not_run:
            tracked.life.mark_not_started(attempt.attempt_id)
        elif not tracked.limits.idempotent:
            return self._responder.give_up(
                tracked, ResultCode.OUTCOME_UNKNOWN, failed.reason, now_ms
            )
        if tracked.responding and not tracked.resumable:
            return self._responder.give_up(
                tracked, ResultCode.ANSWER_TRUNCATED, failed.reason, now_ms
            )
        if not self._may_retry(tracked, failed, now_ms):
            return self._responder.give_up(
                tracked,
                ResultCode.RETRIES_EXHAUSTED,
                failed.reason,
                now_ms,
                parts.settings.refusal_retry_ms,
            )
        self._prepare_resume(tracked, attempt, failed)
        parts.table.detach(tracked)
        return self._queue_desk.put_back(tracked, now_ms)

    def _may_retry(
        self, tracked: TrackedRequest, failed: AttemptFailed, now_ms: int
    ) -> bool:
        """Return whether another attempt is within budget and deadline.

        An endpoint that says it is leaving is not a failure of the pool, so
        moving its work elsewhere is not paid out of the retry budget.
        """
        parts = self._parts
        if now_ms >= tracked.deadline_ms:
            return False
        if failed.leaving:
            return True
        settings = parts.settings
        is_unrun = failed.refused or not failed.sent
        most = settings.max_unrun_retries if is_unrun else settings.max_retries
        if tracked.failures > most:
            return False
        limits = parts.directory.limits.get(tracked.limits.organisation)
        if limits is None:
            return False
        if parts.budget.try_spend(limits.organisation, limits.retry_share, now_ms):
            return True
        if not is_unrun:
            return False
        # Nothing was lost yet, so the request waits instead of being refused;
        # the wait keeps retries from growing into a storm.
        tracked.held_until_ms = now_ms + settings.refusal_retry_ms
        return True

    def _prepare_resume(
        self, tracked: TrackedRequest, attempt: Attempt, failed: AttemptFailed
    ) -> None:
        """Go back to the stream if only the connection broke.

        After a crash the engine has lost the stream, and after a failed
        resume it does not know it; then the answer goes on elsewhere from the
        text that was delivered.
        """
        if not tracked.resumable or failed.crashed or attempt.resumed:
            return
        if not attempt.started or failed.refused or tracked.resume_tries > 0:
            return
        if attempt.is_silent:
            # A resume there would wait in vain for as long again.
            return
        tracked.resume_tries += 1
        tracked.resume_at = ContinuationHandle(
            attempt.endpoint, attempt.stream_id, tracked.delivered_tokens
        )
