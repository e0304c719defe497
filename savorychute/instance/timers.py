"""What an instance does because time passed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import CancelAttempt
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.attempt import Attempt
    from savorychute.instance.attempt_desk import AttemptDesk
    from savorychute.instance.parts import Parts
    from savorychute.instance.queue_desk import QueueDesk
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


#: How many times its target an endpoint may be silent.  Less would give up
#: stragglers, whose work would be wasted; more would miss the deadline.
FIRST_TOKEN_PATIENCE = 4
GAP_PATIENCE = 40
LEAST_PATIENCE_MS = 1_500


class Timers:
    """Deadlines of requests, and endpoints that have gone silent.

    :param parts: the parts of the instance.
    """

    def __init__(
        self,
        parts: Parts,
        responder: Responder,
        attempt_desk: AttemptDesk,
        queue_desk: QueueDesk,
    ) -> None:
        self._parts = parts
        self._responder = responder
        self._attempt_desk = attempt_desk
        self._queue_desk = queue_desk

    def check(self, now_ms: int) -> list[Action]:
        """Answer what ran out of time and give up silent attempts."""
        shed = tuple(self._parts.admission.expire(now_ms))
        actions = self._queue_desk.answer_shed(shed, now_ms)
        for tracked in self._parts.table:
            actions += self._check_request(tracked, now_ms)
        return actions

    def _check_request(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        attempt = tracked.attempt
        if now_ms >= tracked.deadline_ms:
            return self._end_late(tracked, attempt, now_ms)
        if attempt is None:
            return self._check_waiting(tracked, now_ms)
        if not attempt.sent:
            return []
        if now_ms - attempt.progress_ms < self._find_patience_ms(tracked, attempt):
            return []
        return self._attempt_desk.abandon_silent(attempt, now_ms)

    def _check_waiting(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """Answer a request at once that was quarantined while it waited."""
        if not self._parts.quarantine.is_quarantined(tracked.fingerprint, now_ms):
            return []
        code = ResultCode.QUARANTINED
        return self._responder.give_up(tracked, code, code.meaning, now_ms)

    def _end_late(
        self, tracked: TrackedRequest, attempt: Attempt | None, now_ms: int
    ) -> list[Action]:
        """Give the final answer to a request whose deadline has passed."""
        if attempt is None:
            code = ResultCode.DEADLINE_PASSED
            return self._responder.give_up(tracked, code, code.meaning, now_ms)
        cancel = CancelAttempt(attempt.attempt_id)
        tracked.wasted_tokens += attempt.tokens
        code = ResultCode.ANSWER_TIMEOUT
        answer = self._responder.give_up(tracked, code, code.meaning, now_ms)
        return [cancel, *answer]

    def _find_patience_ms(self, tracked: TrackedRequest, attempt: Attempt) -> int:
        """Return how long an attempt may be without any sign of life.

        A non-idempotent run can't be tried elsewhere, so giving it up early
        would gain nothing: it has until its deadline.
        """
        settings = self._parts.settings
        limits = tracked.limits
        if not limits.idempotent:
            return limits.timeout_ms
        if not tracked.expects_tokens or not tracked.request.stream:
            return limits.timeout_ms
        if attempt.tokens == 0:
            patience_ms = FIRST_TOKEN_PATIENCE * limits.first_token_target_ms
            longest_ms = settings.first_progress_timeout_ms
        else:
            patience_ms = GAP_PATIENCE * limits.token_gap_target_ms
            longest_ms = settings.gap_timeout_ms
        return min(max(patience_ms, LEAST_PATIENCE_MS), longest_ms)
