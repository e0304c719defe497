"""Execution of one request, from its admission to its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.endpoint_search import EndpointSearch, NotFound
from savorychute.gateway.moves.movable_run import MovableRun
from savorychute.gateway.requests.attempt import Attempt
from savorychute.gateway.requests.caller_guard import CallerGuard
from savorychute.gateway.requests.caller_response import CallerResponse
from savorychute.gateway.requests.crash_check import CrashCheck
from savorychute.gateway.requests.endpoint_response import ResponseKind
from savorychute.gateway.requests.engine_observer import EngineObserver
from savorychute.gateway.requests.event_times import EventTimes
from savorychute.gateway.requests.execution_summary import ExecutionSummary
from savorychute.gateway.requests.intake import CRASHED_ENDPOINTS, refuse_for_crashes
from savorychute.gateway.requests.loss_observer import LOSS_REASONS, LossObserver
from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
from savorychute.gateway.requests.progress_watch import ProgressWatch
from savorychute.gateway.requests.refusal_tracker import (
    RefusalTracker,
    make_timeout_refusal,
)
from savorychute.gateway.requests.response_evidence import collect_evidence
from savorychute.gateway.requests.stream_continuity import StreamContinuity
from savorychute.gateway.requests.usage_observer import UsageObserver
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.moves.continuation import Continuation
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.caller_port import CallerPort
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.refusal import Refusal
    from savorychute.gateway.streams.stream_origin import StreamOrigin
    from savorychute.http.client_pool import ServerAddress

# Includes the attempts that endpoints rejected.
MAX_SENDS = 4
# Less time than this is too short for another endpoint to respond.
MIN_REMAINING_MS = 30


class RequestExecution:
    """Sends a request to one endpoint after another until one responds.

    Two facts decide what may follow a failed attempt: whether the request may have run
    (``possible_executions``), and whether a second execution is harmful.  Responses pass
    through a guard, so that the caller is sent 'not run' only if no attempt may have run.

    :param parts: the components shared by all requests.
    :param request: the request.
    :param admitted: its route, service and rank.
    :param caller: receives the response.
    :param origin: what began the stream that the caller takes up; None for a new request.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: InboundRequest,
        admitted: AdmittedRequest,
        caller: CallerPort,
        origin: StreamOrigin | None = None,
    ) -> None:
        self._parts = parts
        self._request = request
        self._admitted = admitted
        self._route = admitted.route
        self._continuity = StreamContinuity(
            parts.origins, parts.roster, request, admitted, origin
        )
        self._crash_check = CrashCheck(parts.crashes, admitted)
        self._search = EndpointSearch(
            parts, request, admitted, self._continuity, self._crash_check
        )
        self._observer = EngineObserver(
            parts.engines, parts.shortages, admitted, parts.speeds
        )
        self._losses = LossObserver(parts, self._crash_check)
        self._watch = ProgressWatch(parts, admitted, self)
        self._usage = UsageObserver(parts.usage, admitted)
        self.possible_executions = 0
        self._caller = CallerGuard(caller, self)
        self._response = CallerResponse(
            self._caller,
            request.last_event,
            self._stream_begins,
            request.prompt.max_events if request.prompt else None,
        )
        self._moves = MovableRun(parts, request, admitted, self._response.relay, self)
        self._attempt: Attempt | None = None
        self._held_bytes = 0
        # Whether the caller has read more slowly than the endpoint sent.
        self._was_paused = False
        self._sends = 0
        self._refusals = RefusalTracker()
        self._addresses: set[ServerAddress] = set()
        self.started_ms = parts.clock.now_ms()
        self._times = EventTimes(self.started_ms)
        self._verdict_traits: tuple[int, ...] = ()
        self.finished = False
        self.on_finished: Callable[[], None] | None = None

    def now_ms(self) -> int:
        """Return the current time."""
        return self._parts.clock.now_ms()

    # -- called by the host

    def start(self) -> None:
        """Send the first attempt."""
        self._parts.allowance.count_request(
            self._admitted.service.name, self.started_ms
        )
        if self._admitted.service.runs_models:
            self._observer.record_arrival(self.started_ms)
        if not self._send():
            self._abandon('no-endpoint')

    def caller_left(self) -> None:
        """Stop all work, because the caller has disconnected."""
        if not self.finished:
            self._finish('caller-left')

    def pause_reading(self) -> None:
        """Stop reading the endpoint's response, as the caller reads it slowly."""
        self._was_paused = True
        if self._attempt is not None and self._attempt.running is not None:
            self._attempt.running.pause_reading()

    def resume_reading(self) -> None:
        """Go on reading the endpoint's response."""
        self._times.skip_gap(self.now_ms())
        if self._attempt is not None and self._attempt.running is not None:
            self._attempt.running.resume_reading()

    # -- called by the attempt

    @property
    def has_begun_stream(self) -> bool:
        """Whether the caller has received an event of a stream."""
        return self._response.relay.started

    def may_hold(self, size_bytes: int) -> bool:
        """Return whether there is memory to hold a further part of a response."""
        if not self._parts.response_memory.reserve(size_bytes):
            return False
        self._held_bytes += size_bytes
        return True

    def _release_held(self) -> None:
        self._parts.response_memory.release(self._held_bytes)
        self._held_bytes = 0

    def handle_stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Forward complete events at once; the caller waits for each of them."""
        response = attempt.response
        assert response is not None
        relay = self._response.relay
        if relay.forward(data, response.status, response.headers):
            self._record_event(attempt)
        if relay.is_event_too_large:
            attempt.stop()
            self.attempt_interrupted(attempt, 'event-too-large')
        elif relay.is_endless:
            attempt.stop()
            self.attempt_interrupted(attempt, 'endless-stream')

    def _stream_begins(self) -> None:
        assert self._attempt is not None
        self._continuity.begin(self._attempt.choice.record.entry)

    def _record_event(self, attempt: Attempt) -> None:
        now_ms = self.now_ms()
        if attempt.record_event(now_ms):
            self._crash_check.record_success(attempt.choice.record.entry.run, now_ms)
        gap_ms = self._times.record(now_ms)
        if attempt.waiting and attempt.continues_run:
            gap_ms = None  # The time of a move says nothing about engines.
        elif attempt.waiting:
            self._usage.record_stream_start(now_ms)
        attempt.mark_responding()
        self._observer.record_event(attempt, gap_ms, now_ms)
        self._moves.record_event(attempt)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Count an execution by a plain service."""
        self._release_held()
        if attempt.sent:
            self._crash_check.attempt_ended()
        self._usage.record_attempt_end(attempt)

    def can_retry(self) -> bool:
        """Return whether a failure of the current attempt may be retried."""
        has_attempts = self.possible_executions + 1 < self._route.max_attempts
        return self._route.retryable and has_attempts and self._can_continue()

    def forward_head(self, attempt: Attempt) -> None:
        """Start to forward a response that is too large to be buffered."""
        assert attempt.response is not None
        self._release_held()
        self._response.forward_head(attempt.response, attempt.buffered)
        attempt.buffered.clear()

    def forward_data(self, data: bytes) -> None:
        """Forward a further part of the response body."""
        self._response.forward_data(data)

    def attempt_unsent(self, attempt: Attempt, reason: str) -> None:
        """Continue after an attempt that failed before any byte was sent."""
        if self._moves.absorbs_failure(attempt, reason):
            return
        record = attempt.choice.record
        if not self._parts.paths.is_isolated:
            record.health.record_unresponsive(self.now_ms())
            self._parts.crashes.endpoint_ended(record.entry.run, self.now_ms())
        self._log_attempt(attempt, 'unsent', reason)
        self._sends -= 1
        if self._can_continue() and self._send():
            return
        self._abandon('unreachable')

    def attempt_withheld(self, attempt: Attempt) -> None:
        """Continue after an attempt whose endpoint no longer accepts it."""
        if self._moves.absorbs_failure(attempt, 'withheld'):
            return
        self._search.release(attempt.choice.record.entry.run)
        self._log_attempt(attempt, 'withheld', '')
        self._sends -= 1
        if self._can_continue() and self._send():
            return
        self._abandon('withheld')

    def attempt_interrupted(self, attempt: Attempt, reason: str) -> None:
        """Continue after an attempt that may have run and has no complete response.

        A broken tunnel may be the fault of its relay; if it is the endpoint's, the next
        connection to it shows that.
        """
        if self._moves.absorbs_failure(attempt, reason):
            return
        now_ms = self.now_ms()
        record = attempt.choice.record
        if not attempt.via:
            record.health.record_unresponsive(now_ms)
        self.possible_executions += 1
        if reason in LOSS_REASONS:
            self._losses.record_loss(attempt)
        self._log_attempt(attempt, 'broke', reason)
        if not self._retry():
            self._abandon(reason)

    def may_send(self) -> bool:
        """Return whether the request may still be sent, by the crashes it may cause."""
        return self._crash_check.find_refusal(self.now_ms()) is None

    def verdict_changed(self, attempt: Attempt) -> None:
        """Stop an attempt that would crash its endpoint."""
        if self.finished or self.may_send():
            return
        attempt.stop()
        self.possible_executions += attempt.sent
        self._log_attempt(attempt, 'stopped', CRASHED_ENDPOINTS)
        self._abandon(CRASHED_ENDPOINTS)

    def attempt_stalled(self) -> None:
        """Set the timer anew, as an attempt whose path was lost gets less time."""
        if not self.finished:
            self._watch.start()

    def attempt_completed(self, attempt: Attempt) -> None:
        """Handle a complete response."""
        if self._moves.absorbs_end(attempt):
            return
        response = attempt.response
        assert response is not None
        if response.kind in (ResponseKind.NOT_RUN, ResponseKind.OTHER_ENDPOINT):
            self._handle_rejection(attempt)
            return
        if response.kind is ResponseKind.FAILURE:
            self._handle_failure(attempt)
            return
        if response.is_stream and not self._response.relay.is_between_events:
            self.attempt_interrupted(attempt, 'event-cut')
            return
        if not response.is_delimited and attempt.is_empty:
            # The head alone shows no difference to an endpoint that crashed after it.
            self.attempt_interrupted(attempt, 'empty-answer')
            return
        self._losses.record_completion(attempt, response)
        attempt.choice.record.health.record_success(self.now_ms())
        if response.is_stream:
            self._continuity.complete()
            self._observer.record_stream_end(attempt, self._response.relay.events)
        self._log_attempt(attempt, 'answered', '')
        self._search.record_end(late=False, now_ms=self.now_ms())
        self._response.complete(response, attempt.buffered)
        self._finish('answered', response.status)

    # -- after an attempt

    def _handle_rejection(self, attempt: Attempt) -> None:
        """Continue after an endpoint stated that it did not run the request."""
        response = attempt.response
        assert response is not None
        attempt.is_rejected = True
        if response.kind is ResponseKind.OTHER_ENDPOINT:
            self._parts.roster.record_end(attempt.choice.record.entry.run)
        else:
            attempt.choice.record.health.record_failure(self.now_ms())
            self._refusals.record_rejection(response.retry_after_ms)
        self._log_attempt(attempt, 'rejected', response.kind.name.lower())
        if self._can_continue() and self._send_retry():
            return
        self._abandon('rejected')

    def _handle_failure(self, attempt: Attempt) -> None:
        """Retry a request that an endpoint failed, or forward the failure."""
        response = attempt.response
        assert response is not None
        attempt.choice.record.health.record_failure(self.now_ms())
        self.possible_executions += 1
        self._log_attempt(attempt, 'failed', str(response.status))
        if self._retry():
            return
        final_outcome = self._response.fail(response, attempt.buffered)
        self._finish(final_outcome.outcome, final_outcome.status)

    def _retry(self) -> bool:
        """Retry a request that may have run, if that is harmless and permitted."""
        if not self._route.retryable or not self._can_be_continued():
            return False
        if (
            self.possible_executions >= self._route.max_attempts
            or not self._can_continue()
        ):
            return False
        if not self.may_send():
            return False
        self._response.relay.restart()
        return self._send_retry()

    def _can_be_continued(self) -> bool:
        """Return whether another endpoint may generate what the caller still lacks."""
        if self._response.forwarding:
            return False
        return self._continuity.may_go_on and self._response.relay.can_resume

    def _send_retry(self) -> bool:
        """Send a retry within the shared bound, if there is an endpoint."""
        has_other = self._search.has_alternative(self.now_ms())
        return has_other and self.spend_retry() and self._send()

    def _can_continue(self) -> bool:
        remaining_ms = self._admitted.end_ms - self.now_ms()
        return self._sends < MAX_SENDS and remaining_ms >= MIN_REMAINING_MS

    def spend_retry(self) -> bool:
        """Return whether the shared bound allows a further arrival of the request."""
        service = self._admitted.service.name
        decision = self._parts.allowance.try_spend(service, self.now_ms())
        self._parts.telemetry.retry_decided(self._request, service, decision)
        return decision.granted

    def _abandon(self, reason: str) -> None:
        """End without a response of an endpoint."""
        not_run = self._refusals.make_refusal(reason)
        decision = self._crash_check.find_refusal(self.now_ms())
        if decision is not None:
            not_run = refuse_for_crashes(decision, self.now_ms())
            self._verdict_traits = not_run.traits
        self._end_without_response(not_run, ResultCode.OUTCOME_UNKNOWN)

    def _end_without_response(self, not_run: Refusal, unknown: ResultCode) -> None:
        final_outcome = self._response.abandon(not_run, unknown)
        self._finish(final_outcome.outcome, final_outcome.status)

    # -- sending

    def _send(self) -> bool:
        """Start an attempt; return false if there is no endpoint for it."""
        now_ms = self.now_ms()
        if not self.may_send():
            return False
        choice = self._search.find(
            now_ms, bool(self.possible_executions), self._resume_search
        )
        if choice is NotFound.PENDING:
            self._watch.start()
            return True
        if choice is NotFound.NONE_LEFT:
            return False
        if choice in (NotFound.OVERLOADED, NotFound.SUSPENDED):
            self._record_refusal(choice, now_ms)
            return False
        self._send_to(choice, now_ms)
        return True

    def _record_refusal(self, reason: NotFound, now_ms: int) -> None:
        """Record after which delay the caller should retry."""
        is_suspended = reason is NotFound.SUSPENDED
        wait_ms = self._search.wait_ms(now_ms) if is_suspended else 0
        room = None if is_suspended else self._search.expect_room(now_ms)
        self._refusals.record_overload(self._parts.guard.retry_after_ms(wait_ms, room))
        if self._admitted.service.runs_models:
            self._observer.record_refusal(now_ms)

    def _resume_search(self) -> None:
        """Resume a search that waited for load reports or a permit."""
        if not self.finished and not self._send():
            self._abandon('no-endpoint')

    def _send_to(self, choice: Choice, now_ms: int) -> None:
        self._sends += 1
        if self._admitted.service.runs_models:
            self._observer.record_send(choice)
        self._moves.abandon_move('sent-elsewhere')
        self._start_attempt(choice, now_ms)

    def _start_attempt(
        self, choice: Choice, now_ms: int, continuation: Continuation | None = None
    ) -> Attempt:
        service = self._admitted.service
        address = choice.record.entry.address
        is_repeated = address in self._addresses
        self._addresses.add(address)
        attempt = Attempt(self, choice, now_ms)
        attempt.continues_run = continuation is not None
        self._caller.watch(attempt)
        if self._attempt is not None:
            self._attempt.buffered.clear()
        self._attempt = attempt
        attempt.running = self._parts.attempts.send(
            OutboundAttempt(
                request=self._request,
                endpoint=choice.record.entry,
                remaining_ms=self._admitted.end_ms - now_ms,
                organisation=self._admitted.organisation,
                urgency=self._admitted.rank if service.runs_models else None,
                last_event=self._response.relay.last_event,
                fresh=not self._route.retryable,
                permit=choice.permit,
                continuation=continuation,
                repeated=is_repeated,
            ),
            attempt,
        )
        self._watch.start()
        return attempt

    def continue_run(self, choice: Choice, continuation: Continuation) -> Attempt:
        """Send the request to an engine that continues the run; it runs only once."""
        self._response.relay.restart()
        return self._start_attempt(choice, self.now_ms(), continuation)

    def run_lost(self, reason: str) -> None:
        """Continue after a run that ended during its move."""
        self.possible_executions += 1
        if not self._retry():
            self._abandon(reason)

    def may_move(self) -> bool:
        """Return whether the request may run at any engine of its service."""
        return self._crash_check.is_free(self.now_ms())

    # -- timeouts, called by the watch

    def replaceable_attempt(self) -> Attempt | None:
        """Return the current attempt if another endpoint may be tried instead."""
        attempt = self._attempt
        if attempt is None or attempt.ended or not self._can_be_continued():
            return None
        if self._moves.is_stopping:
            return None
        if not self._route.retryable:
            return None
        if self.possible_executions + 1 >= self._route.max_attempts:
            return None
        return attempt

    def abandon_attempt(self, attempt: Attempt, *, is_leaving: bool = False) -> None:
        """Close an attempt at an unresponsive or leaving endpoint, and try another one."""
        can_retry = self._can_continue() and self._search.has_alternative(self.now_ms())
        if not can_retry or not self.spend_retry():
            return
        is_path_lost = attempt.path_lost
        attempt.stop()
        self.possible_executions += attempt.sent
        if not is_path_lost and not is_leaving:
            self._losses.record_silence(attempt)
        self._log_attempt(attempt, 'leaving' if is_leaving else 'silent', '')
        self._response.relay.restart()
        if not self._send():
            self._abandon('silent')

    def replace_late_attempt(self, attempt: Attempt) -> None:
        """Try another engine if only that one is expected to end the answer in time."""
        if not self._can_continue():
            return
        if not self._search.find_timely_retry(attempt.choice, self.now_ms()):
            return
        if not self.spend_retry():
            return
        attempt.stop()
        self.possible_executions += attempt.sent
        self._log_attempt(attempt, 'late', '')
        self._response.relay.restart()
        if not self._send():
            self._abandon('late')

    def time_out(self) -> None:
        """End a request whose deadline has passed."""
        attempt = self._attempt
        was_expected = self._search.record_end(late=True, now_ms=self.now_ms())
        if attempt is not None and not attempt.ended:
            self._record_if_unserved(attempt)
            if attempt.is_receiving_body and not self._was_paused:
                attempt.choice.record.health.record_failure(self.now_ms())
            if was_expected and not attempt.waiting:
                self._observer.record_refusal(self.now_ms())
            attempt.stop()
            self.possible_executions += attempt.sent
            self._log_attempt(attempt, 'timeout', '')
        self._end_without_response(make_timeout_refusal(), ResultCode.ANSWER_TIMEOUT)

    def _finish(self, outcome: str, status: int = 0) -> None:
        self.finished = True
        self._watch.stop()
        self._moves.close(outcome)
        if self._attempt is not None:
            self._record_if_unserved(self._attempt)
            self._attempt.stop()
            self._attempt.buffered.clear()
        self._parts.telemetry.request_finished(
            self._request, self._admitted, outcome, int(status), self.summary()
        )
        if self.on_finished is not None:
            self.on_finished()

    def _record_if_unserved(self, attempt: Attempt) -> None:
        if self._admitted.service.runs_models and attempt.waiting:
            self._observer.record_unserved(attempt, self.now_ms())

    def summary(self) -> ExecutionSummary:
        """Return the timings and counts of the request, for its log line."""
        return ExecutionSummary(
            self.now_ms() - self.started_ms,
            self._times.first_ms,
            self._sends,
            self.possible_executions,
            self._response.relay.events,
            self._times.longest_gap_ms,
            self._attempt.choice.record.entry.endpoint if self._attempt else '',
            self._attempt.via if self._attempt else '',
            self._attempt.choice.record.entry.software_version
            if self._attempt
            else None,
            collect_evidence(self._attempt),
            self._is_delimited(),
            self._verdict_traits,
        )

    def _is_delimited(self) -> bool:
        response = self._attempt.response if self._attempt else None
        return response is None or response.is_delimited

    def _log_attempt(self, attempt: Attempt, outcome: str, reason: str) -> None:
        self._parts.telemetry.attempt_ended(
            self._request,
            attempt,
            outcome,
            reason,
            self._response.relay.events,
            self.now_ms(),
            collect_evidence(attempt),
        )
