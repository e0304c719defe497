"""The periodic work of an instance's parts, and inputs that update them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.audit.audit_entry import AuditEntry
from savorychute.audit.audit_kind import AuditKind
from savorychute.instance.lease_handler import LeaseHandler
from savorychute.instance.placement_handler import PlacementHandler
from savorychute.membership.member_status import MemberStatus
from savorychute.recovery import EndpointHealth

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.configuration.applied_change import AppliedChange
    from savorychute.inputs import ListingFetched, LoadReported, OrderFinished
    from savorychute.instance.key_handler import KeyHandler
    from savorychute.instance.parts import InstanceParts

ACTIVE_STATE = 'active'


class PeriodicTasks:
    """Ticks the parts in an order in which each finds the others up to date.

    :param parts: the parts of the instance.
    :param key_handler: handles the outcomes of the key manager.
    """

    def __init__(self, parts: InstanceParts, key_handler: KeyHandler) -> None:
        self._parts = parts
        self._key_handler = key_handler
        self._lease_handler = LeaseHandler(parts)
        self._waiting_organisations: set[str] = set()
        self._placement_handler = PlacementHandler(parts, self._lease_handler)

    def tick(self, now_ms: int) -> list[Action]:
        """Tick every part once."""
        parts = self._parts
        parts.membership.advertise(
            parts.configuration.advertised_offset,
            MemberStatus(load=len(parts.request_table)),
        )
        actions = parts.membership.tick(now_ms)
        view = parts.membership.view()
        actions += parts.configuration.tick(
            view, parts.membership.peer_offsets(), now_ms
        )
        self.apply_configuration(now_ms)
        self._record_member_changes(now_ms)
        self._report_demand(now_ms)
        actions += parts.credits.tick(view, now_ms)
        self._apply_relayed_loads(now_ms)
        actions += parts.limiter.tick(view, now_ms)
        actions += self.tick_keys(now_ms)
        actions += parts.quarantine.tick(view, now_ms)
        actions += parts.endpoint_table.due_polls(now_ms)
        actions += self._lease_handler.tick(now_ms)
        actions += self._placement_handler.tick(now_ms)
        actions += parts.audit.tick(now_ms)
        self._emit_endpoint_changes()
        return actions

    def tick_keys(self, now_ms: int) -> list[Action]:
        """Tick the key manager, which resends notices that callers wait for."""
        parts = self._parts
        outcomes = parts.keys.tick(parts.membership.view(), now_ms)
        return self._key_handler.handle_outcomes(outcomes, now_ms)

    def handle_listing(self, listing: ListingFetched, now_ms: int) -> list[Action]:
        """Apply the platform's list of instances."""
        parts = self._parts
        if listing.ok:
            parts.directory.set_leaving(listing.leaving)
            parts.limiter.apply_listing(listing, now_ms)
        return parts.membership.apply_listing(listing, now_ms)

    def handle_load_report(self, report: LoadReported, now_ms: int) -> list[Action]:
        """Apply the load report of an endpoint."""
        parts = self._parts
        parts.endpoint_table.apply_report(report, now_ms)
        parts.ejector.apply_report(report, now_ms)
        parts.credits.record_load(report)
        self._placement_handler.handle_load_report(report, now_ms)
        actions = self._lease_handler.handle_load_report(report, now_ms)
        if report.state == ACTIVE_STATE:
            return actions
        parts.leaving.record(report.endpoint, now_ms)
        return actions + parts.leaving.broadcast(parts.membership.view())

    def handle_finished_order(
        self, finished: OrderFinished, now_ms: int
    ) -> list[Action]:
        """Handle the outcome of an order."""
        self._placement_handler.handle_finished_order(finished, now_ms)
        return self._lease_handler.handle_finished_order(finished, now_ms)

    def apply_configuration(self, now_ms: int) -> None:
        """Pass changes of the configuration to the parts."""
        parts = self._parts
        changes = parts.configuration.take_changes()
        if not changes:
            return
        directory = parts.directory
        directory.apply(changes)
        parts.admission.set_limits(directory.limits)
        parts.limiter.set_limits(directory.limits)
        parts.credits.set_endpoints(directory.endpoints)
        parts.endpoint_table.set_endpoints(directory.endpoints)
        parts.ejector.set_endpoints(directory.endpoints)
        parts.quarantine.set_endpoints(directory.endpoints)
        parts.orders.set_endpoints(directory.endpoints)
        for change in changes:
            self._audit_change(change, now_ms)
            parts.events.emit('configuration-applied', change)

    def _apply_relayed_loads(self, now_ms: int) -> None:
        """Apply the load reports that came with grants of credit."""
        for report in self._parts.credits.pop_reports():
            # A relayed report does not contain the loaded models.
            self._parts.endpoint_table.apply_report(report._replace(models=()), now_ms)

    def _record_member_changes(self, now_ms: int) -> None:
        parts = self._parts
        for change in parts.membership.take_changes():
            entry = AuditEntry(
                kind=AuditKind.MEMBERSHIP,
                item=f'instance:{change.instance}',
                operator='',
                from_version=change.from_state,
                to_version=change.to_state,
                why=change.why,
            )
            self._audit(entry, now_ms)
            parts.events.emit('member-changed', change)

    def _emit_endpoint_changes(self) -> None:
        for change in self._parts.ejector.take_changes():
            is_ejected = change.after is EndpointHealth.EJECTED
            name = 'endpoint-ejected' if is_ejected else 'endpoint-readmitted'
            self._parts.events.emit(name, change)

    def _report_demand(self, now_ms: int) -> None:
        """Report queued and running requests to the limiter and the credit ledger."""
        parts = self._parts
        waiting: dict[str, int] = {}
        for tracked in parts.request_table:
            if tracked.attempt is None:
                organisation = tracked.limits.organisation
                waiting[organisation] = waiting.get(organisation, 0) + 1
        for organisation in waiting.keys() | self._waiting_organisations:
            parts.limiter.set_demand(organisation, waiting.get(organisation, 0))
        self._waiting_organisations = set(waiting)
        pools = set(parts.admission.pools()) | set(parts.request_table.running_pools())
        for pool in pools:
            by_tier = dict(parts.admission.waiting(pool))
            for tracked in parts.request_table.running(pool):
                tier = tracked.limits.tier
                by_tier[tier] = by_tier.get(tier, 0) + 1
            parts.credits.set_demand(pool, by_tier, now_ms)

    def _audit_change(self, change: AppliedChange, now_ms: int) -> None:
        """Record an amendment; the instance that proposed it stores it lastingly.

        A state that was fetched as a whole brings thousands of changes without
        a record of their own.  They are skipped because they would displace all
        other entries of the audit trail.
        """
        if not change.record_id:
            return
        entry = AuditEntry(
            kind=AuditKind.AMENDMENT,
            item=change.item,
            operator=change.operator,
            from_version=str(change.from_version),
            to_version=str(change.to_version),
            why=change.why,
            lasting=change.instance == self._parts.address.instance,
        )
        self._audit(entry, now_ms)

    def _audit(self, entry: AuditEntry, now_ms: int) -> None:
        self._parts.audit.record(entry, now_ms)
        self._parts.events.emit('audit-recorded', entry)
