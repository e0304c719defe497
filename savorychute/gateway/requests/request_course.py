"""One request, from its admission to its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.endpoint_search import EndpointSearch, NotFound
from savorychute.gateway.recovery.crash_sighting import CrashSighting
from savorychute.gateway.requests.attempt import Attempt
from savorychute.gateway.requests.caller_answer import CallerAnswer
from savorychute.gateway.requests.course_summary import CourseSummary
from savorychute.gateway.requests.endpoint_answer import AnswerKind
from savorychute.gateway.requests.engine_observer import EngineObserver
from savorychute.gateway.requests.event_times import EventTimes
from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
from savorychute.gateway.requests.refusal_notes import RefusalNotes, make_late_refusal
from savorychute.gateway.requests.silence import silence_ends_ms
from savorychute.gateway.requests.usage_observer import UsageObserver
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted import Admitted
    from savorychute.gateway.requests.attempt_port import TimerHandle
    from savorychute.gateway.requests.caller_port import CallerPort
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.refusal import Refusal

# Sends of one request, those that endpoints refused included.
MAX_SENDS = 4
# Less time than this is of no use to another endpoint.
LEAST_REMAINING_MS = 30
# Between two looks at a silent endpoint that may not be left.
RECHECK_MS = 50


class RequestCourse:
    """Sends a request to one endpoint after the other until one answers.

    Two facts decide what may follow a failed attempt: whether it can have run
    (``possible_runs``), and whether a second run does harm.  The caller is told
    'not run' only while no attempt is in doubt.

    :param parts: what all requests share.
    :param request: the request.
    :param admitted: what it is owed.
    :param caller: who waits for the answer.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: InboundRequest,
        admitted: Admitted,
        caller: CallerPort,
    ) -> None:
        self._parts = parts
        self._request = request
        self._admitted = admitted
        self._route = admitted.route
        self._search = EndpointSearch(parts, request, admitted)
        self._observer = EngineObserver(parts.engines, parts.shortages, admitted)
        self._usage = UsageObserver(parts.usage, admitted)
        self._answer = CallerAnswer(caller, request.last_event)
        self._attempt: Attempt | None = None
        self._timer: TimerHandle | None = None
        self._sends = 0
        self._refusals = RefusalNotes()
        self.possible_runs = 0
        self.began_ms = parts.clock.now_ms()
        self._times = EventTimes(self.began_ms)
        self.finished = False
        self.on_finished: Callable[[], None] | None = None

    def now_ms(self) -> int:
        """Return the time."""
        return self._parts.clock.now_ms()

    # -- called by the host

    def start(self) -> None:
        """Send the first attempt."""
        self._parts.allowance.request(self._admitted.service.name, self.began_ms)
        if self._admitted.service.runs_models:
            self._observer.offered(self.began_ms)
        if not self._send():
            self._give_up('no-endpoint')

    def caller_left(self) -> None:
        """Stop all work; nobody waits for it any more."""
        if not self.finished:
            self._finish('caller-left')

    # -- called by the attempt

    def stream_data(self, attempt: Attempt, data: bytes) -> None:
        """Pass on events; the caller of a stream waits for each of them."""
        answer = attempt.answer
        assert answer is not None
        if not self._answer.relay.take(data, answer.status, answer.headers):
            return
        now_ms = self.now_ms()
        if attempt.waiting:
            self._usage.stream_began(now_ms)
        attempt.began_to_answer()
        self._observer.event_came(attempt, self._times.note(now_ms), now_ms)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Count what a plain service has run."""
        self._usage.ended(attempt)

    def pass_head(self, attempt: Attempt) -> None:
        """Begin to pass on an answer that is too large to be held."""
        assert attempt.answer is not None
        self._answer.pass_head(attempt.answer, attempt.held)
        attempt.held.clear()

    def pass_data(self, data: bytes) -> None:
        """Pass on more of it."""
        self._answer.pass_data(data)

    def attempt_unsent(self, attempt: Attempt, reason: str) -> None:
        """Go on after an attempt of which no byte has left."""
        record = attempt.choice.record
        record.health.silent(self.now_ms())
        self._parts.crashes.endpoint_ended(record.entry.run, self.now_ms())
        self._log_attempt(attempt, 'unsent', reason)
        self._sends -= 1
        if self._may_go_on() and self._send():
            return
        self._give_up('unreachable')

    def attempt_withheld(self, attempt: Attempt) -> None:
        """Go on after an attempt whose endpoint no longer takes it."""
        self._search.take_back(attempt.choice.record.entry.run)
        self._log_attempt(attempt, 'withheld', '')
        self._sends -= 1
        if self._may_go_on() and self._send():
            return
        self._give_up('withheld')

    def attempt_broke(self, attempt: Attempt, reason: str) -> None:
        """Go on after an attempt that may have run and has no whole answer."""
        now_ms = self.now_ms()
        record = attempt.choice.record
        record.health.silent(now_ms)
        self.possible_runs += 1
        if reason == 'connection-lost':
            sighting = CrashSighting(self._admitted.fingerprint, record.entry.run)
            self._parts.crashes.broke_off(sighting, now_ms)
        self._log_attempt(attempt, 'broke', reason)
        if not self._repeat():
            self._give_up(reason)

    def attempt_answered(self, attempt: Attempt) -> None:
        """Take a whole answer."""
        answer = attempt.answer
        assert answer is not None
        if answer.kind in (AnswerKind.NOT_RUN, AnswerKind.OTHER_ENDPOINT):
            self._take_rejection(attempt)
            return
        if answer.kind is AnswerKind.FAILURE:
            self._take_failure(attempt)
            return
        if answer.is_stream and not self._answer.relay.is_between_events:
            self.attempt_broke(attempt, 'event-cut')
            return
        attempt.choice.record.health.succeeded(self.now_ms())
        if answer.is_stream:
            self._observer.stream_ended(attempt, self._answer.relay.events)
        self._log_attempt(attempt, 'answered', '')
        self._answer.complete(answer, attempt.held)
        self._finish('answered', answer.status)

    # -- after an attempt

    def _take_rejection(self, attempt: Attempt) -> None:
        """Go on after an endpoint that states that it did not run the request."""
        answer = attempt.answer
        assert answer is not None
        if answer.kind is AnswerKind.OTHER_ENDPOINT:
            self._parts.roster.end(attempt.choice.record.entry.run)
        else:
            attempt.choice.record.health.failed(self.now_ms())
            self._refusals.rejected(answer.retry_after_ms)
        self._log_attempt(attempt, 'rejected', answer.kind.name.lower())
        if self._may_go_on() and self._send_again():
            return
        self._give_up('rejected')

    def _take_failure(self, attempt: Attempt) -> None:
        """Repeat a request that an endpoint failed, or pass its failure on."""
        answer = attempt.answer
        assert answer is not None
        attempt.choice.record.health.failed(self.now_ms())
        self.possible_runs += 1
        self._log_attempt(attempt, 'failed', str(answer.status))
        if self._repeat():
            return
        self._answer.fail(answer, attempt.held)
        self._finish('endpoint-failed', answer.status)

    def _repeat(self) -> bool:
        """Send a request again that may have run, if that does no harm."""
        if not self._route.retryable or self._answer.passing:
            return False
        if self.possible_runs >= self._route.max_attempts or not self._may_go_on():
            return False
        if self._parts.crashes.is_suspect(self._admitted.fingerprint, self.now_ms()):
            return False
        self._answer.relay.restart()
        return self._send_again()

    def _send_again(self) -> bool:
        """Send a further attempt out of the shared bound, if there is an endpoint."""
        has_other = self._search.has_other(self.now_ms())
        return has_other and self._spend() and self._send()

    def _may_go_on(self) -> bool:
        remaining_ms = self._admitted.end_ms - self.now_ms()
        return self._sends < MAX_SENDS and remaining_ms >= LEAST_REMAINING_MS

    def _spend(self) -> bool:
        service = self._admitted.service.name
        decision = self._parts.allowance.try_spend(service, self.now_ms())
        self._parts.telemetry.retry_decided(self._request, service, decision)
        return decision.granted

    def _give_up(self, reason: str) -> None:
        """End without an answer of an endpoint."""
        not_run = self._refusals.make_refusal(reason)
        self._end_unanswered(not_run, ResultCode.OUTCOME_UNKNOWN)

    def _end_unanswered(self, not_run: Refusal, unknown: ResultCode) -> None:
        ending = self._answer.give_up(not_run, unknown, self.possible_runs)
        self._finish(ending.outcome, ending.status)

    # -- sending

    def _send(self) -> bool:
        """Start an attempt; return false if there is no endpoint for it."""
        now_ms = self.now_ms()
        found = self._search.find(now_ms, bool(self.possible_runs), self._answers_came)
        if found is NotFound.ASKING:
            self._arm()
            return True
        if found is NotFound.NONE_LEFT:
            return False
        if found in (NotFound.OVERLOADED, NotFound.CLOSED):
            self._note_refusal(found, now_ms)
            return False
        self._send_to(found, now_ms)
        return True

    def _note_refusal(self, found: NotFound, now_ms: int) -> None:
        """Note when the caller should come back."""
        wait_ms = self._search.wait_ms(now_ms) if found is NotFound.CLOSED else 0
        self._refusals.overloaded(self._parts.guard.retry_after_ms(wait_ms))
        if self._admitted.service.runs_models:
            self._observer.refused(now_ms)

    def _answers_came(self) -> None:
        """Go on with the choice that waited for reports or a permit."""
        if not self.finished and not self._send():
            self._give_up('no-endpoint')

    def _send_to(self, choice: Choice, now_ms: int) -> None:
        service = self._admitted.service
        self._sends += 1
        if service.runs_models:
            self._observer.sent(choice)
        attempt = Attempt(self, choice, now_ms)
        self._attempt = attempt
        attempt.running = self._parts.attempts.send(
            OutboundAttempt(
                request=self._request,
                endpoint=choice.record.entry,
                remaining_ms=self._admitted.end_ms - now_ms,
                organisation=self._admitted.organisation,
                urgency=self._admitted.rank if service.runs_models else None,
                last_event=self._answer.relay.last_event,
                fresh=not self._route.retryable,
                permit=choice.permit,
            ),
            attempt,
        )
        self._arm()

    # -- time

    def _arm(self, soonest_ms: int = 1) -> None:
        """Set the timer to whatever is due first.

        :param soonest_ms: from now.
        """
        if self._timer is not None:
            self._timer.cancel()
        due_ms = self._admitted.end_ms
        attempt = self._leavable_attempt()
        if attempt is not None:
            due_ms = min(due_ms, silence_ends_ms(attempt, self._route))
        delay_ms = max(soonest_ms, due_ms - self.now_ms())
        self._timer = self._parts.timers.call_later(delay_ms, self._due)

    def _leavable_attempt(self) -> Attempt | None:
        """Return the attempt under way if another endpoint may be tried instead."""
        attempt = self._attempt
        if attempt is None or attempt.ended or self._answer.passing:
            return None
        if not self._route.retryable:
            return None
        if self.possible_runs + 1 >= self._route.max_attempts:
            return None
        return attempt

    def _due(self) -> None:
        self._timer = None
        if self.finished:
            return
        now_ms = self.now_ms()
        if now_ms >= self._admitted.end_ms:
            self._time_out()
            return
        attempt = self._leavable_attempt()
        if attempt is not None and now_ms >= silence_ends_ms(attempt, self._route):
            self._doubt(attempt)
        if not self.finished and self._timer is None:
            self._arm(RECHECK_MS)

    def _doubt(self, attempt: Attempt) -> None:
        """Find out whether a silent endpoint lives, or leave it.

        A model engine that reads long prompts sends nothing for a while, and to leave it
        would have the prompt read twice; it answers a probe beside its work.
        """
        if not self._admitted.service.runs_models:
            self._leave_silent(attempt)
            return
        record = attempt.choice.record
        self._parts.loads.ask(
            record, lambda lives: self._probed(attempt, lives), self._admitted.rank
        )

    def _probed(self, attempt: Attempt, lives: bool) -> None:
        if not lives and not self.finished and attempt is self._leavable_attempt():
            self._leave_silent(attempt)

    def _leave_silent(self, attempt: Attempt) -> None:
        """Close a silent attempt and try another endpoint, if there is one."""
        can_go = self._may_go_on() and self._search.has_other(self.now_ms())
        if not can_go or not self._spend():
            return
        attempt.stop()
        attempt.choice.record.health.silent(self.now_ms())
        self.possible_runs += attempt.sent
        self._log_attempt(attempt, 'silent', '')
        self._answer.relay.restart()
        if not self._send():
            self._give_up('silent')

    def _time_out(self) -> None:
        """End a request whose time is over."""
        attempt = self._attempt
        if attempt is not None and not attempt.ended:
            self._note_waiting(attempt)
            attempt.stop()
            self.possible_runs += attempt.sent
            self._log_attempt(attempt, 'timeout', '')
        self._end_unanswered(make_late_refusal(), ResultCode.ANSWER_TIMEOUT)

    def _finish(self, outcome: str, status: int = 0) -> None:
        self.finished = True
        if self._timer is not None:
            self._timer.cancel()
        if self._attempt is not None:
            self._note_waiting(self._attempt)
            self._attempt.stop()
        self._parts.telemetry.request_finished(
            self._request, self._admitted, outcome, int(status), self.summary()
        )
        if self.on_finished is not None:
            self.on_finished()

    def _note_waiting(self, attempt: Attempt) -> None:
        if self._admitted.service.runs_models and attempt.waiting:
            self._observer.waited_in_vain(attempt, self.now_ms())

    def summary(self) -> CourseSummary:
        """Return the figures of the course, for its log line."""
        return CourseSummary(
            self.now_ms() - self.began_ms,
            self._times.first_ms,
            self._sends,
            self.possible_runs,
            self._answer.relay.events,
            self._times.longest_gap_ms,
            self._attempt.choice.record.entry.endpoint if self._attempt else '',
        )

    def _log_attempt(self, attempt: Attempt, outcome: str, reason: str) -> None:
        self._parts.telemetry.attempt_ended(
            self._request, attempt, outcome, reason, self.now_ms()
        )
