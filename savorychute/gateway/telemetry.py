"""Log lines and metrics of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.chooser import HOME, USUAL
from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.gateway.log_identifier import (
    MAX_IDENTIFIER_CHARS,
    list_traits,
    make_identifier,
)
from savorychute.gateway.log_line_budget import LogLineBudget
from savorychute.gateway.store.store_call_counter import StoreCallCounter
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.clock import Clock
    from savorychute.errors import SavorychuteError, SettingsError
    from savorychute.gateway.admission.deadline_check import ExpectedEnd
    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.engine_model import EngineEstimates
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.recovery.retry_allowance import RetryDecision
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.execution_summary import ExecutionSummary
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.refusal import Refusal
    from savorychute.gateway.requests.response_evidence import ResponseEvidence
    from savorychute.gateway.store.unreadable_record import UnreadableRecord
    from savorychute.http.slow_caller import SlowCallerReason
    from savorychute.logs import InstanceLog, Value
    from savorychute.membership.member_change import MemberChange
    from savorychute.metrics import Metrics

OK_OUTCOMES = ('answered',)
# How many logged unreadable records are remembered; each listing returns them again.
MAX_REMEMBERED_RECORDS = 256
# Logged for an engine whose load is unknown.
UNKNOWN_LOAD = EngineLoad(0, 0, 0, 0)
# Logged for an engine that has started no request recently.
NO_RANK = -1
PERCENT = 100
# Reasons of a choice that are counted but not logged: most requests go to their home.
UNLOGGED_REASONS = (USUAL, HOME)
# From this multiple of its usual demand on, an organisation counts as above it.
SURPLUS = 2.0


class GatewayTelemetry:
    """Logs each decision on a request and each change of known state, and counts them.

    :param log: log of the instance.
    :param metrics: metrics of the instance.
    :param clock: monotonic clock.
    """

    def __init__(self, log: InstanceLog, metrics: Metrics, clock: Clock) -> None:
        self.log = log
        self.metrics = metrics
        self.calls = StoreCallCounter(metrics)
        self.clock = clock
        self._budget = LogLineBudget(clock)
        self._failing_topics: set[str] = set()
        self._logged_unreadable: dict[tuple[str, int, str | None], None] = {}

    # -- dependencies

    def store_failed(self, topic: str, error: SavorychuteError) -> None:
        """Count a failure of the store, and log the first of consecutive ones."""
        self.metrics.count('store_failures_total', topic=topic)
        if topic in self._failing_topics:
            return
        self._failing_topics.add(topic)
        self.log.warning(
            'dependency-lost', item=topic, reason=make_identifier(error.message)
        )

    def store_used(self) -> None:
        """Log how many calls to the store were made so far, by purpose."""
        for topic, counts in self.calls.summary().items():
            self.log.info('store-used', item=topic, reason=counts)

    def store_went_back(self, era: int) -> None:
        """Log that entries were rewritten because the store is now an older copy."""
        self.log.warning('store-went-back', era=era)

    def store_responded(self, topic: str) -> None:
        """Log the first response of the store after failures."""
        if topic in self._failing_topics:
            self._failing_topics.discard(topic)
            self.log.info('dependency-regained', item=topic)

    def record_unreadable(self, topic: str, record: UnreadableRecord) -> None:
        """Log a record that could not be decoded, only the first time it is read."""
        logged_key = (topic, record.offset, record.key)
        if logged_key in self._logged_unreadable:
            return
        self._logged_unreadable[logged_key] = None
        if len(self._logged_unreadable) > MAX_REMEMBERED_RECORDS:
            self._logged_unreadable.pop(next(iter(self._logged_unreadable)))
        self.metrics.count('records_unreadable_total', topic=topic)
        self.write(
            LogLevel.ERROR,
            'record-unreadable',
            '',
            item=topic,
            offset=record.offset,
            record_id=make_identifier(record.key or ''),
            reason=make_identifier(record.reason),
        )

    def settings_reloaded(self, changed: Sequence[str]) -> None:
        """Log that the settings were reloaded."""
        self.log.info(
            'settings-reloaded',
            count=len(changed),
            item=','.join(changed)[:MAX_IDENTIFIER_CHARS],
        )

    def settings_rejected(self, error: SettingsError) -> None:
        """Log that a changed settings file has faults and was not applied."""
        self.log.error(
            'settings-rejected',
            code=error.code.number,
            count=len(error.faults),
            reason=make_identifier(error.faults[0]),
        )

    def work_failed(self, name: str, error: Exception) -> None:
        """Log a defect that ended background work, which is restarted."""
        self.log.error(
            'work-failed',
            item=name,
            error=type(error).__name__,
            reason=make_identifier(str(error)),
        )

    # -- configuration, endpoints and members

    def configuration_applied(self, deployment: Deployment, offset: int) -> None:
        """Log a configuration version that is now in force."""
        self.log.info(
            'configuration-applied',
            version=deployment.version,
            offset=offset,
            count=len(deployment.routes),
            organisations=_count_organisations(deployment),
        )

    def endpoint_changed(self, entry: EndpointEntry) -> None:
        """Log an endpoint that was added or started to drain."""
        self.log.info(
            'endpoint-changed',
            endpoint=entry.endpoint,
            service=entry.service,
            address=f'{entry.address.host}:{entry.address.port}',
            state='draining' if entry.draining else 'ready',
            software=_make_version_identifier(entry.software_version),
        )

    def run_ended(self, entry: EndpointEntry) -> None:
        """Count and log a run of an endpoint that is not used any more."""
        self.metrics.count('runs_ended_total', service=entry.service)
        self.write(
            LogLevel.INFO,
            'run-ended',
            '',
            endpoint=entry.endpoint,
            service=entry.service,
        )

    def endpoint_gone(self, endpoint: str) -> None:
        """Log an endpoint whose entry was removed."""
        self.log.info('endpoint-changed', endpoint=endpoint, state='gone')

    def member_changed(self, change: MemberChange) -> None:
        """Log that another instance joined, left, became unresponsive or returned."""
        self.log.info(
            'member-changed',
            member=change.instance,
            incarnation=change.incarnation,
            from_state=change.from_state,
            to_state=change.to_state,
            reason=make_identifier(change.why),
        )

    def engines_learned(self, service: str, figures: EngineEstimates) -> None:
        """Log the figures from which a service's engines are predicted."""
        self.log.info(
            'engines-learned',
            service=service,
            **{name: round(value, 2) for name, value in figures._asdict().items()},
        )

    # -- requests

    def request_refused(
        self, request: InboundRequest, refusal: Refusal, version: int, age_ms: int
    ) -> None:
        """Log a refusal at admission."""
        code_number = str(refusal.code.number)
        self.metrics.count('refusals_total', code=code_number, reason=refusal.reason)
        self.write(
            LogLevel.WARNING,
            'request-refused',
            request.attempt_id,
            code=refusal.code.number,
            reason=make_identifier(refusal.reason),
            ran=refusal.ran.value,
            retry_after_ms=refusal.retry_after_ms,
            version=version,
            age_ms=age_ms,
            traits=list_traits(refusal.traits),
        )

    def request_shed(
        self,
        request: InboundRequest,
        choice: Choice,
        requirements: RequestRequirements,
        limit: str,
        now_ms: int,
        expected: ExpectedEnd | None = None,
        surplus: float = 1.0,
    ) -> None:
        """Log that even the best engine cannot serve a request in time.

        ``surplus`` is the demand of the request's organisation as a multiple of its
        usual one.

        The ranks in the engine's load distinguish a service that is saturated from one
        that is saturated by less urgent requests.
        """
        record = choice.record
        load = record.load or UNKNOWN_LOAD
        begun_rank = load.begun_rank
        self.metrics.count('sheds_total', rank=str(requirements.rank), limit=limit)
        self.metrics.count(
            'sheds_by_caller_total',
            demand='surplus' if surplus >= SURPLUS else 'usual',
            caller='returned' if requirements.returned else 'new',
        )
        self.write(
            LogLevel.WARNING,
            'request-shed',
            request.attempt_id,
            endpoint=record.entry.endpoint,
            rank=requirements.rank,
            reason=limit,
            count=load.requests,
            waiting=load.waiting,
            generating=load.generating,
            ahead=load.generating_ahead(requirements.rank),
            begun_rank=NO_RANK if begun_rank is None else begun_rank,
            used_above_percent=round(PERCENT * choice.urgent_usage.share),
            usual_percent=round(PERCENT * choice.urgent_usage.usual),
            waited_ms=int(choice.wait_ms),
            age_ms=record.load_age_ms(now_ms),
            speed_percent=round(PERCENT * choice.speed),
            placed=choice.reason,
            organisation=requirements.organisation,
            demand_percent=round(PERCENT * surplus),
            returned=requirements.returned,
            expected_end_ms=None if expected is None else int(expected.end_ms),
            left_ms=None if expected is None else expected.left_ms,
        )

    def request_diverted(
        self,
        request: InboundRequest,
        choice: Choice,
        other: Choice,
        expected: ExpectedEnd | None,
        other_expected: ExpectedEnd,
    ) -> None:
        """Log that another engine is to end an answer.

        The chosen one was expected to be late, or refuses the request for its load.
        """
        service = choice.record.entry.service
        reason = 'full' if expected is None else 'late'
        self.metrics.count('diversions_total', service=service, reason=reason)
        self.write(
            LogLevel.INFO,
            'request-diverted',
            request.attempt_id,
            service=service,
            from_endpoint=choice.record.entry.endpoint,
            endpoint=other.record.entry.endpoint,
            reason=reason,
            expected_end_ms=None if expected is None else int(expected.end_ms),
            other_end_ms=int(other_expected.end_ms),
            left_ms=other_expected.left_ms,
        )

    def attempt_ended(
        self,
        request: InboundRequest,
        attempt: Attempt,
        outcome: str,
        reason: str,
        events: int,
        now_ms: int,
        evidence: ResponseEvidence,
    ) -> None:
        """Log a failed attempt; successful ones appear in the line of the request.

        ``events`` is how many events of the request its caller has received so far,
        ``evidence`` what vouches for the response.
        """
        choice = attempt.choice
        record = choice.record
        service = record.entry.service
        self.metrics.count('attempts_total', service=service, outcome=outcome)
        self.metrics.count('placements_total', service=service, reason=choice.reason)
        if choice.reason not in UNLOGGED_REASONS:
            self._log_placement(request, choice, attempt)
        if outcome in OK_OUTCOMES:
            return
        self.write(
            LogLevel.WARNING,
            'attempt-ended',
            request.attempt_id,
            endpoint=record.entry.endpoint,
            service=record.entry.service,
            state=outcome,
            reason=make_identifier(reason),
            duration_ms=now_ms - attempt.started_ms,
            sent_after_ms=(
                attempt.sent_ms - attempt.started_ms if attempt.sent else None
            ),
            count=record.outstanding,
            via=attempt.via,
            software=_make_version_identifier(record.entry.software_version),
            events=events,
            parts=_list_parts(request),
            placed=choice.reason,
            **evidence.list_fields(),
        )

    def _log_placement(
        self, request: InboundRequest, choice: Choice, attempt: Attempt
    ) -> None:
        """Log that an attempt did not go to the home of its prompt, and why."""
        first_event_ms = attempt.first_event_ms
        self.write(
            LogLevel.INFO,
            'attempt-placed',
            request.attempt_id,
            endpoint=choice.record.entry.endpoint,
            service=choice.record.entry.service,
            reason=choice.reason,
            speed_percent=round(PERCENT * choice.speed),
            expected_ms=int(choice.cost_ms),
            waited_ms=int(choice.wait_ms),
            first_event_ms=(
                None if first_event_ms is None else first_event_ms - attempt.started_ms
            ),
        )

    def retry_decided(
        self, request: InboundRequest, service: str, decision: RetryDecision
    ) -> None:
        """Log whether a retry may be sent, and the figures behind the decision."""
        outcome = 'granted' if decision.granted else 'withheld'
        self.metrics.count('repeats_total', service=service, outcome=outcome)
        self.metrics.set('repeats_recent', decision.spent, service=service)
        self.metrics.set('repeat_bound', decision.bound, service=service)
        self.write(
            LogLevel.WARNING,
            'repeat-decided',
            request.attempt_id,
            service=service,
            state=outcome,
            count=decision.spent,
            requests=decision.requests,
            bound=round(decision.bound, 2),
            instances=decision.instances,
            inherited=decision.inherited,
            cap=decision.cap,
        )

    def retries_allowed(self, max_retries: float) -> None:
        """Log that the store has a new cap on the retries of this run."""
        self.log.info('repeats-allowed', bound=max_retries)

    def request_finished(
        self,
        request: InboundRequest,
        admitted: AdmittedRequest,
        outcome: str,
        status: int,
        summary: ExecutionSummary,
    ) -> None:
        """Log a finished request."""
        route = admitted.route
        self.metrics.count('requests_total', route=route.name, outcome=outcome)
        self.metrics.observe('request_ms', summary.duration_ms, admitted.rank)
        if summary.events:
            self.metrics.observe(
                'first_event_ms', summary.first_event_ms, admitted.rank
            )
            self.metrics.observe('event_gap_ms', summary.longest_gap_ms, admitted.rank)
        self.write(
            LogLevel.INFO if outcome in OK_OUTCOMES else LogLevel.WARNING,
            'request-finished',
            request.attempt_id,
            state=make_identifier(outcome),
            status=status,
            item=admitted.route.name,
            service=admitted.service.name,
            endpoint=summary.endpoint,
            via=summary.via,
            delimited=summary.is_delimited,
            software=_make_version_identifier(summary.software_version),
            resumes=make_identifier(request.resumed_attempt),
            last_event=make_identifier(request.last_event),
            organisation=admitted.organisation,
            rank=admitted.rank,
            version=admitted.version,
            duration_ms=summary.duration_ms,
            first_event_ms=summary.first_event_ms,
            count=summary.sends,
            events=summary.events,
            gap_ms=summary.longest_gap_ms,
            target_ms=route.target_ms,
            gap_target_ms=route.gap_target_ms,
            traits=list_traits(summary.verdict_traits),
            **summary.evidence.list_connection_fields(),
        )

    def log_omitted(self) -> None:
        """Log how many lines were omitted, if any."""
        omitted = self._budget.pop_omitted()
        if omitted:
            self.metrics.count('log_lines_omitted_total', omitted)
            self.log.warning('log-lines-omitted', count=omitted)

    def callers_cut(self, unread_bytes: int) -> None:
        """Log that responses are not read whole when this instance ends."""
        if unread_bytes:
            self.log.warning('responses-cut', bytes=unread_bytes)

    def slow_caller_ended(self, reason: SlowCallerReason, unread_bytes: int) -> None:
        """Count and log a response that was ended because its caller reads slowly."""
        self.metrics.count('slow_callers_total', reason=reason.value)
        self.write(
            LogLevel.WARNING,
            'caller-ended',
            '',
            reason=f'slow-{reason.value}',
            bytes=unread_bytes,
        )

    def write(
        self, level: LogLevel, event: str, request_id: str, **fields: Value
    ) -> None:
        """Log one line if the budget of lines allows it.

        :param level: level of the line.
        :param event: constant name of the event.
        :param request_id: the request that the line belongs to, or empty.
        :param fields: fields of the line.
        """
        if self._budget.acquire(level >= LogLevel.WARNING):
            self.log.write(level, event, request_id, **fields)


def _count_organisations(deployment: Deployment) -> int | None:
    organisations = deployment.organisations
    return None if organisations is None else len(organisations)


def _make_version_identifier(software_version: str | None) -> str | None:
    """Return a software version for a log line; None for an unknown one."""
    return None if software_version is None else make_identifier(software_version)


def _list_parts(request: InboundRequest) -> str:
    """Return the parts of a prompt for a log line, without the request's own one."""
    parts = request.prompt.parts[:-1] if request.prompt is not None else ()
    return make_identifier(','.join(each.part for each in parts))
