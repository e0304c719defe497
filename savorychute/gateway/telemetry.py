"""What a gateway tells its operators: log lines and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.engine_load import EngineLoad
from savorychute.gateway.log_budget import LogBudget
from savorychute.gateway.log_word import WORD_CHARS, make_word
from savorychute.gateway.store.store_call_counter import StoreCallCounter
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.clock import Clock
    from savorychute.errors import SavorychuteError, SettingsError
    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.engine_model import EngineFigures
    from savorychute.gateway.dispatch.need import Need
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.recovery.retry_allowance import RetryDecision
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.execution_summary import ExecutionSummary
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.refusal import Refusal
    from savorychute.gateway.store.unreadable_record import UnreadableRecord
    from savorychute.logs import InstanceLog, Value
    from savorychute.membership.member_change import MemberChange
    from savorychute.metrics import Metrics

OK_OUTCOMES = ('answered',)
# Unreadable records that were logged, the newest; listings show them again and again.
UNREADABLE_KEPT = 256
# In a log line, for an engine of which nothing is known,
NO_LOAD = EngineLoad(0, 0, 0, 0)
# and for one that has begun nothing lately.
NO_RANK = -1


class GatewayTelemetry:
    """One line for each decision that touches a request or a belief, and counters.

    :param log: where the lines go.
    :param metrics: what is counted.
    :param clock: the time.
    """

    def __init__(self, log: InstanceLog, metrics: Metrics, clock: Clock) -> None:
        self.log = log
        self.metrics = metrics
        self.calls = StoreCallCounter(metrics)
        self._budget = LogBudget(clock)
        self._lost: set[str] = set()
        self._unreadable: dict[tuple[str, int, str | None], None] = {}

    # -- dependencies

    def store_failed(self, topic: str, error: SavorychuteError) -> None:
        """Count a failure, and log the first of a run of them."""
        self.metrics.count('store_failures_total', topic=topic)
        if topic in self._lost:
            return
        self._lost.add(topic)
        self.log.warning('dependency-lost', item=topic, reason=make_word(error.message))

    def store_used(self) -> None:
        """Log how many calls to the store were made so far, and what for."""
        for topic, counts in self.calls.summary().items():
            self.log.info('store-used', item=topic, reason=counts)

    def store_went_back(self, era: int) -> None:
        """Log that the store has come back from an older copy, and what it lost is there."""
        self.log.warning('store-went-back', era=era)

    def store_answered(self, topic: str) -> None:
        """Log the first answer after failures."""
        if topic in self._lost:
            self._lost.discard(topic)
            self.log.info('dependency-regained', item=topic)

    def record_unreadable(self, topic: str, record: UnreadableRecord) -> None:
        """Log a record that could not be decoded, once however often it is read."""
        seen = (topic, record.offset, record.key)
        if seen in self._unreadable:
            return
        self._unreadable[seen] = None
        if len(self._unreadable) > UNREADABLE_KEPT:
            self._unreadable.pop(next(iter(self._unreadable)))
        self.metrics.count('records_unreadable_total', topic=topic)
        self.write(
            LogLevel.ERROR,
            'record-unreadable',
            '',
            item=topic,
            offset=record.offset,
            record_id=make_word(record.key or ''),
            reason=make_word(record.reason),
        )

    def settings_reloaded(self, changed: Sequence[str]) -> None:
        """Log that the settings were read anew."""
        self.log.info(
            'settings-reloaded', count=len(changed), item=','.join(changed)[:WORD_CHARS]
        )

    def settings_rejected(self, error: SettingsError) -> None:
        """Log that a new settings file has faults and changes nothing."""
        self.log.error(
            'settings-rejected',
            code=error.code.number,
            count=len(error.faults),
            reason=make_word(error.faults[0]),
        )

    def work_failed(self, name: str, error: Exception) -> None:
        """Log a defect that ended background work, which begins anew."""
        self.log.error(
            'work-failed',
            item=name,
            error=type(error).__name__,
            reason=make_word(str(error)),
        )

    # -- beliefs

    def configuration_applied(self, deployment: Deployment, offset: int) -> None:
        """Log a version that is now in force."""
        self.log.info(
            'configuration-applied',
            version=deployment.version,
            offset=offset,
            count=len(deployment.routes),
        )

    def endpoint_changed(self, entry: EndpointEntry) -> None:
        """Log an endpoint that came or began to leave."""
        self.log.info(
            'endpoint-changed',
            endpoint=entry.endpoint,
            service=entry.service,
            address=f'{entry.address.host}:{entry.address.port}',
            state='draining' if entry.draining else 'ready',
        )

    def endpoint_gone(self, endpoint: str) -> None:
        """Log an endpoint whose entry was removed."""
        self.log.info('endpoint-changed', endpoint=endpoint, state='gone')

    def member_changed(self, change: MemberChange) -> None:
        """Log another instance that came, left, fell silent or came back."""
        self.log.info(
            'member-changed',
            member=change.instance,
            incarnation=change.incarnation,
            from_state=change.from_state,
            to_state=change.to_state,
            reason=make_word(change.why),
        )

    def engines_learned(self, service: str, figures: EngineFigures) -> None:
        """Log what predictions for a service's engines are made of."""
        self.log.info(
            'engines-learned',
            service=service,
            **{name: round(value, 2) for name, value in figures._asdict().items()},
        )

    # -- requests

    def request_refused(
        self, request: InboundRequest, refusal: Refusal, version: int, age_ms: int
    ) -> None:
        """Log a refusal at the door."""
        number = str(refusal.code.number)
        self.metrics.count('refusals_total', code=number, reason=refusal.reason)
        self.write(
            LogLevel.WARNING,
            'request-refused',
            request.attempt_id,
            code=refusal.code.number,
            reason=make_word(refusal.reason),
            ran=refusal.ran.value,
            retry_after_ms=refusal.retry_after_ms,
            version=version,
            age_ms=age_ms,
        )

    def request_shed(
        self,
        request: InboundRequest,
        choice: Choice,
        need: Need,
        limit: str,
        now_ms: int,
    ) -> None:
        """Log that not even the best engine can serve a request in time.

        Whom the engine's load belongs to tells a service that is full from one that is
        full of less urgent requests.
        """
        record = choice.record
        load = record.load or NO_LOAD
        begun_rank = load.begun_rank
        self.metrics.count('sheds_total', rank=str(need.rank), limit=limit)
        self.write(
            LogLevel.WARNING,
            'request-shed',
            request.attempt_id,
            endpoint=record.entry.endpoint,
            rank=need.rank,
            reason=limit,
            count=load.taken,
            waiting=load.waiting,
            generating=load.generating,
            ahead=load.generating_ahead(need.rank),
            begun_rank=NO_RANK if begun_rank is None else begun_rank,
            waited_ms=int(choice.wait_ms),
            age_ms=record.load_age_ms(now_ms),
        )

    def attempt_ended(
        self,
        request: InboundRequest,
        attempt: Attempt,
        outcome: str,
        reason: str,
        now_ms: int,
    ) -> None:
        """Log an attempt that did not end well; the others are in the last line."""
        record = attempt.choice.record
        service = record.entry.service
        self.metrics.count('attempts_total', service=service, outcome=outcome)
        if outcome in OK_OUTCOMES:
            return
        self.write(
            LogLevel.WARNING,
            'attempt-ended',
            request.attempt_id,
            endpoint=record.entry.endpoint,
            service=record.entry.service,
            state=outcome,
            reason=make_word(reason),
            duration_ms=now_ms - attempt.started_ms,
            count=record.outstanding,
        )

    def repeat_decided(
        self, request: InboundRequest, service: str, decision: RetryDecision
    ) -> None:
        """Log whether a further attempt may be sent, and out of what."""
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

    def repeats_allowed(self, repeats: float) -> None:
        """Log that the store holds another cap of the repeats of this run."""
        self.log.info('repeats-allowed', bound=repeats)

    def request_finished(
        self,
        request: InboundRequest,
        admitted: AdmittedRequest,
        outcome: str,
        status: int,
        summary: ExecutionSummary,
    ) -> None:
        """Log how a request ended."""
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
            state=make_word(outcome),
            status=status,
            item=admitted.route.name,
            service=admitted.service.name,
            endpoint=summary.endpoint,
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
        )

    def tell_omitted(self) -> None:
        """Log how many lines were left out, if any were."""
        omitted = self._budget.take_omitted()
        if omitted:
            self.metrics.count('log_lines_omitted_total', omitted)
            self.log.warning('log-lines-omitted', count=omitted)

    def write(
        self, level: LogLevel, event: str, request_id: str, **fields: Value
    ) -> None:
        """Log one line if the budget of lines allows it.

        :param level: how much it matters.
        :param event: a constant name.
        :param request_id: the request that it belongs to, or empty.
        :param fields: those of the line.
        """
        if self._budget.take(level >= LogLevel.WARNING):
            self.log.write(level, event, request_id, **fields)
