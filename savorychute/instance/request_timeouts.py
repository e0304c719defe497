"""Timeouts of requests and attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions import CancelAttempt
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.attempt import Attempt
    from savorychute.instance.attempt_handler import AttemptHandler
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.queue_handler import QueueHandler
    from savorychute.instance.responder import Responder
    from savorychute.instance.tracked_request import TrackedRequest


#: An attempt without progress is abandoned after this multiple of its target.
#: Less would abandon slow attempts and waste their work; more would miss the
#: deadline.
FIRST_TOKEN_TIMEOUT_FACTOR = 4
GAP_TIMEOUT_FACTOR = 40
MIN_PROGRESS_TIMEOUT_MS = 1_500


class RequestTimeouts:
    """Ends requests at their deadline and abandons unresponsive attempts.

    :param parts: the parts of the instance.
    :param responder: ends requests.
    :param attempt_handler: abandons attempts.
    :param queue_handler: refuses requests that admission has shed.
    """

    def __init__(
        self,
        parts: InstanceParts,
        responder: Responder,
        attempt_handler: AttemptHandler,
        queue_handler: QueueHandler,
    ) -> None:
        self._parts = parts
        self._responder = responder
        self._attempt_handler = attempt_handler
        self._queue_handler = queue_handler

    def check(self, now_ms: int) -> list[Action]:
        """End expired requests and abandon unresponsive attempts."""
        shed = tuple(self._parts.admission.expire(now_ms))
        actions = self._queue_handler.refuse_shed(shed, now_ms)
        for tracked in self._parts.request_table:
            actions += self._check_request(tracked, now_ms)
        return actions

    def _check_request(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        attempt = tracked.attempt
        if now_ms >= tracked.deadline_ms:
            return self._end_expired(tracked, attempt, now_ms)
        if attempt is None:
            return self._check_queued(tracked, now_ms)
        if not attempt.sent:
            return []
        if now_ms - attempt.last_progress_ms < self._find_progress_timeout_ms(
            tracked, attempt
        ):
            return []
        return self._attempt_handler.abandon_unresponsive(attempt, now_ms)

    def _check_queued(self, tracked: TrackedRequest, now_ms: int) -> list[Action]:
        """End a queued request at once if it was quarantined in the meantime."""
        if not self._parts.quarantine.is_quarantined(tracked.fingerprint, now_ms):
            return []
        code = ResultCode.QUARANTINED
        return self._responder.give_up(tracked, code, code.meaning, now_ms)

    def _end_expired(
        self, tracked: TrackedRequest, attempt: Attempt | None, now_ms: int
    ) -> list[Action]:
        """End a request whose deadline has passed."""
        if attempt is None:
            code = ResultCode.DEADLINE_PASSED
            return self._responder.give_up(tracked, code, code.meaning, now_ms)
        cancel = CancelAttempt(attempt.attempt_id)
        tracked.wasted_tokens += attempt.tokens
        code = ResultCode.ANSWER_TIMEOUT
        end_actions = self._responder.give_up(tracked, code, code.meaning, now_ms)
        return [cancel, *end_actions]

    def _find_progress_timeout_ms(
        self, tracked: TrackedRequest, attempt: Attempt
    ) -> int:
        """Return how long an attempt can be without progress.

        A non-idempotent request can't be retried elsewhere, so abandoning its
        attempt early has no benefit: it has until its deadline.
        """
        settings = self._parts.settings
        limits = tracked.limits
        if not limits.idempotent:
            return limits.timeout_ms
        if not tracked.expects_tokens or not tracked.request.stream:
            return limits.timeout_ms
        if attempt.tokens == 0:
            progress_timeout_ms = (
                FIRST_TOKEN_TIMEOUT_FACTOR * limits.first_token_target_ms
            )
            max_progress_timeout_ms = settings.first_progress_timeout_ms
        else:
            progress_timeout_ms = GAP_TIMEOUT_FACTOR * limits.token_gap_target_ms
            max_progress_timeout_ms = settings.gap_timeout_ms
        return min(
            max(progress_timeout_ms, MIN_PROGRESS_TIMEOUT_MS), max_progress_timeout_ms
        )
