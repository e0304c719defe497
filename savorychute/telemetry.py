"""Log lines and metrics for an instance's events."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from savorychute.daemon.metrics_text import MetricsText
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from savorychute.audit.audit_entry import AuditEntry
    from savorychute.configuration.applied_change import AppliedChange
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.events import EventManager
    from savorychute.host_sample import HostSample
    from savorychute.inputs import CallerRequest
    from savorychute.instance.request_outcome import RequestOutcome
    from savorychute.instance.status import StatusDocument
    from savorychute.logs import InstanceLog
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_change import MemberChange
    from savorychute.metrics import Metrics
    from savorychute.recovery.endpoint_change import EndpointChange

CONTRACT_KIND = 'contract'


class Telemetry:
    """Connects an instance's events to its log and its metrics.

    :param log: the log of the instance.
    :param metrics: the metrics of the instance.
    :param token_hashes: digests of operators' tokens, which must not be logged.
    """

    def __init__(
        self, log: InstanceLog, metrics: Metrics, token_hashes: Iterable[str] = ()
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._operator_hashes = frozenset(token_hashes)
        self._organisation_hashes: dict[str, frozenset[str]] = {}
        self._read_status: Callable[[], StatusDocument] | None = None
        self._read_host: Callable[[], HostSample] | None = None
        self._log.set_token_hashes(self._operator_hashes)

    def watch(self, events: EventManager) -> None:
        """Connect to all events that are logged or counted.

        :param events: the events of the instance.
        """
        events.connect('request-received', self._log_request)
        events.connect('request-finished', self._record_request)
        events.connect('configuration-applied', self._record_change)
        events.connect('member-changed', self._record_member_change)
        events.connect('endpoint-ejected', self._record_ejection)
        events.connect('endpoint-readmitted', self._log_readmission)
        events.connect('request-quarantined', self._record_quarantine)
        events.connect('instance-leaving', self._log_leaving)

    def set_gauge_sources(
        self,
        read_status: Callable[[], StatusDocument],
        read_host: Callable[[], HostSample] | None = None,
    ) -> None:
        """Set the functions that provide values of gauges when metrics are rendered.

        :param read_status: returns the instance's status.
        :param read_host: returns the counters of the host's sockets.
        """
        self._read_status = read_status
        self._read_host = read_host

    def render(self, accept: str) -> MetricsText:
        """Return the current metrics.

        :param accept: the content types that the caller accepts.
        """
        if self._read_status is not None:
            self._sample_status(self._read_status())
        if self._read_host is not None:
            self._sample_host(self._read_host())
        body, headers = self._metrics.render([accept] if accept else [])
        return MetricsText(headers['Content-Type'], body)

    def _log_request(self, request: CallerRequest) -> None:
        self._log.debug(
            'request-received',
            request.request_id,
            class_name=request.class_name,
            model=request.model,
            service=request.service,
            bytes=len(request.body),
        )

    def _record_request(self, outcome: RequestOutcome) -> None:
        self._log.info(
            'request-finished',
            outcome.request_id,
            organisation=outcome.organisation,
            class_name=outcome.class_name,
            tier=outcome.tier,
            code=outcome.code.number,
            ran=outcome.ran.value,
            duration_ms=outcome.duration_ms,
            tokens=outcome.tokens,
            count=outcome.attempts,
        )
        self._count_request(outcome)

    def _count_request(self, outcome: RequestOutcome) -> None:
        metrics = self._metrics
        # A stored answer that is returned again for its key has no attempt; it was
        # counted when the request ran.
        is_answered = outcome.code is ResultCode.OK and outcome.attempts > 0
        metrics.finish_request(
            outcome.organisation,
            outcome.class_name,
            outcome.code,
            outcome.ran,
            outcome.target_met,
            outcome.weight if is_answered else 0.0,
        )
        tier = str(outcome.tier)
        metrics.count('attempts_total', outcome.attempts, tier=tier)
        metrics.count('tokens_total', outcome.tokens, tier=tier)
        metrics.count('wasted_tokens_total', outcome.wasted_tokens, tier=tier)
        metrics.observe('request_ms', outcome.duration_ms, outcome.tier)
        if outcome.first_token_ms >= 0:
            metrics.observe('first_token_ms', outcome.first_token_ms, outcome.tier)
        if outcome.tokens > 1:
            gaps = outcome.tokens - 1
            metrics.observe('token_gap_ms', outcome.token_gap_ms, outcome.tier, gaps)

    def _record_change(self, change: AppliedChange) -> None:
        kind, _, name = change.item.partition(':')
        if kind == CONTRACT_KIND:
            self._set_organisation_hashes(name, change)
        self._metrics.count('configuration_changes_total', kind=kind)
        self._log.info(
            'configuration-applied',
            item=change.item,
            version=change.to_version,
            offset=change.offset,
            operator=change.operator,
            record_id=change.record_id,
        )

    def _set_organisation_hashes(
        self, organisation: str, change: AppliedChange
    ) -> None:
        hashes: Iterable[str] = ()
        if change.document is not None:
            hashes = cast('ContractDocument', change.document)['token_hashes']
        self._organisation_hashes[organisation] = frozenset(hashes)
        self._log.set_token_hashes(
            self._operator_hashes.union(*self._organisation_hashes.values())
        )

    def _record_member_change(self, change: MemberChange) -> None:
        self._metrics.count('member_changes_total', state=change.to_state)
        self._log.info(
            'member-changed',
            member=change.instance,
            incarnation=change.incarnation,
            from_state=change.from_state,
            to_state=change.to_state,
        )

    def _record_ejection(self, change: EndpointChange) -> None:
        self._metrics.count('endpoint_ejections_total')
        self._log.warning('endpoint-ejected', endpoint=change.endpoint)

    def _log_readmission(self, change: EndpointChange) -> None:
        self._log.info('endpoint-readmitted', endpoint=change.endpoint)

    def _record_quarantine(self, entry: AuditEntry) -> None:
        self._metrics.count('quarantines_total')
        self._log.warning('request-quarantined', item=entry.item)

    def _log_leaving(self, address: MemberAddress) -> None:
        self._log.info('instance-leaving', incarnation=address.incarnation)

    def _sample_status(self, status: StatusDocument) -> None:
        metrics = self._metrics
        metrics.set('configuration_offset', status['configuration_offset'])
        metrics.set('contracts', status['contracts'])
        metrics.set('log_reachable', int(status['log_reachable']))
        metrics.set('open_requests', status['requests_in_progress'])
        metrics.set('members', status['members'], state='alive')
        metrics.set('members', status['suspects'], state='suspect')
        metrics.set('endpoints', status['endpoints'], state='known')
        metrics.set('endpoints', status['usable_endpoints'], state='usable')
        metrics.clear('queued_requests')
        for pool, by_tier in status['waiting_by_pool'].items():
            for tier, count in by_tier.items():
                metrics.set('queued_requests', count, pool=pool, tier=tier)

    def _sample_host(self, sample: HostSample) -> None:
        metrics = self._metrics
        metrics.set('open_connections', sample.open_connections)
        metrics.set_total('peer_sent_bytes_total', sample.peer_sent_bytes)
        metrics.set_total('peer_dropped_total', sample.peer_dropped)
        metrics.set_total('peer_rejected_total', sample.peer_rejected)
