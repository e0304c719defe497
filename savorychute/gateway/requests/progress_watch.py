"""Watches the deadline of a request and the progress of its attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.requests.progress_deadline import (
    late_check_ms,
    progress_deadline_ms,
)

if TYPE_CHECKING:
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.attempt_port import TimerHandle

# Between two checks of an unresponsive endpoint that cannot be abandoned.
RECHECK_INTERVAL_MS = 50


class WatchedExecution(Protocol):
    """The request that is watched."""

    finished: bool

    def replaceable_attempt(self) -> Attempt | None:
        """Return the current attempt if another endpoint may be tried instead."""
        ...

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Close an unresponsive attempt and try another endpoint, if there is one."""
        ...

    def replace_late_attempt(self, attempt: Attempt) -> None:
        """Try another engine if only that one is expected to end the answer in time."""
        ...

    def time_out(self) -> None:
        """End a request whose deadline has passed."""
        ...


class ProgressWatch:
    """Ends a request at its deadline, and an attempt whose endpoint is unresponsive.

    :param parts: state and ports shared by all requests.
    :param admitted: the request's route, service and deadline.
    :param execution: the request.
    """

    def __init__(
        self,
        parts: GatewayParts,
        admitted: AdmittedRequest,
        execution: WatchedExecution,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._execution = execution
        self._timer: TimerHandle | None = None
        self._late_checked_ms = 0

    def start(self, min_delay_ms: int = 1) -> None:
        """Set the timer to the earliest deadline, in place of an earlier timer.

        :param min_delay_ms: the shortest delay from now.
        """
        self.stop()
        due_ms = self._admitted.end_ms
        attempt = self._execution.replaceable_attempt()
        if attempt is not None:
            due_ms = min(due_ms, self._progress_deadline_ms(attempt))
            check_ms = self._late_check_ms(attempt)
            due_ms = due_ms if check_ms is None else min(due_ms, check_ms)
        delay_ms = max(min_delay_ms, due_ms - self._parts.clock.now_ms())
        self._timer = self._parts.timers.call_later(delay_ms, self._timer_expired)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _progress_deadline_ms(self, attempt: Attempt) -> int:
        return progress_deadline_ms(attempt, self._admitted.route)

    def _late_check_ms(self, attempt: Attempt) -> int | None:
        if self._parts.guard.competition is None:
            return None
        return late_check_ms(attempt, self._admitted.route, self._late_checked_ms)

    def _check_late(self, attempt: Attempt, now_ms: int) -> None:
        check_ms = self._late_check_ms(attempt)
        if check_ms is not None and now_ms >= check_ms:
            self._late_checked_ms = now_ms
            self._execution.replace_late_attempt(attempt)

    def _timer_expired(self) -> None:
        self._timer = None
        execution = self._execution
        if execution.finished:
            return
        now_ms = self._parts.clock.now_ms()
        if now_ms >= self._admitted.end_ms:
            execution.time_out()
            return
        attempt = execution.replaceable_attempt()
        if attempt is not None and now_ms >= self._progress_deadline_ms(attempt):
            self._check_unresponsive(attempt)
        attempt = None if execution.finished else execution.replaceable_attempt()
        if attempt is not None:
            self._check_late(attempt, now_ms)
        if not execution.finished and self._timer is None:
            self.start(RECHECK_INTERVAL_MS)

    def _check_unresponsive(self, attempt: Attempt) -> None:
        """Probe an unresponsive engine; abandon an unresponsive plain endpoint.

        A model engine that prefills long prompts sends nothing for a while, and
        abandoning it would cause the prompt to be prefilled twice; it responds to probes
        meanwhile.  Probes that take another path say nothing about a lost one.
        """
        if not self._admitted.service.runs_models or attempt.path_lost:
            self._execution.abandon_attempt(attempt)
            return
        self._parts.loads.query(
            attempt.choice.record,
            lambda is_alive: self._probe_completed(attempt, is_alive),
            self._admitted.rank,
        )

    def _probe_completed(self, attempt: Attempt, is_alive: bool) -> None:
        execution = self._execution
        if (
            not is_alive
            and not execution.finished
            and attempt is execution.replaceable_attempt()
        ):
            execution.abandon_attempt(attempt)
