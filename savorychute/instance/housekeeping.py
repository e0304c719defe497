"""The periodic work of an instance's parts, and news that feeds them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.audit.audit_entry import AuditEntry
from savorychute.audit.audit_kind import AuditKind
from savorychute.instance.lease_desk import LeaseDesk
from savorychute.instance.placement_desk import PlacementDesk
from savorychute.membership.member_status import MemberStatus
from savorychute.recovery import EndpointHealth

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.configuration.applied_change import AppliedChange
    from savorychute.inputs import ListingFetched, LoadReported, OrderFinished
    from savorychute.instance.key_desk import KeyDesk
    from savorychute.instance.parts import Parts

ACTIVE = 'active'


class Housekeeping:
    """Tick the parts in an order in which each finds the others up to date.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts, key_desk: KeyDesk) -> None:
        self._parts = parts
        self._key_desk = key_desk
        self._lease_desk = LeaseDesk(parts)
        self._waiting_organisations: set[str] = set()
        self._placement_desk = PlacementDesk(parts, self._lease_desk)

    def tick(self, now_ms: int) -> list[Action]:
        """Tick every part once."""
        parts = self._parts
        parts.membership.advertise(
            parts.configuration.advertised_offset, MemberStatus(load=len(parts.table))
        )
        actions = parts.membership.tick(now_ms)
        view = parts.membership.view()
        actions += parts.configuration.tick(
            view, parts.membership.peer_offsets(), now_ms
        )
        self.follow_configuration(now_ms)
        self._follow_members(now_ms)
        self._report_demand(now_ms)
        actions += parts.credits.tick(view, now_ms)
        self._follow_relayed_loads(now_ms)
        actions += parts.limiter.tick(view, now_ms)
        actions += self.tick_keys(now_ms)
        actions += parts.quarantine.tick(view, now_ms)
        actions += parts.book.due_polls(now_ms)
        actions += self._lease_desk.tick(now_ms)
        actions += self._placement_desk.tick(now_ms)
        actions += parts.audit.tick(now_ms)
        self._follow_endpoints()
        return actions

    def tick_keys(self, now_ms: int) -> list[Action]:
        """Repeat notices that are due; callers wait for their answers."""
        parts = self._parts
        outcomes = parts.keys.tick(parts.membership.view(), now_ms)
        return self._key_desk.follow(outcomes, now_ms)

    def note_listing(self, listing: ListingFetched, now_ms: int) -> list[Action]:
        """Take in the platform's list."""
        parts = self._parts
        if listing.ok:
            parts.directory.note_listing(listing.leaving)
            parts.limiter.apply_listing(listing, now_ms)
        return parts.membership.apply_listing(listing, now_ms)

    def note_load(self, report: LoadReported, now_ms: int) -> list[Action]:
        """Take in an endpoint's load report."""
        parts = self._parts
        parts.book.apply_report(report, now_ms)
        parts.ejector.apply_report(report, now_ms)
        parts.credits.observe(report)
        self._placement_desk.note_load(report, now_ms)
        actions = self._lease_desk.note_load(report, now_ms)
        if report.state == ACTIVE:
            return actions
        parts.leaving.record(report.endpoint, now_ms)
        return actions + parts.leaving.broadcast(parts.membership.view())

    def note_order(self, finished: OrderFinished, now_ms: int) -> list[Action]:
        """Take in how an order ended."""
        self._placement_desk.note_order(finished, now_ms)
        return self._lease_desk.note_order(finished, now_ms)

    def follow_configuration(self, now_ms: int) -> None:
        """Let the parts follow the configuration, if it changed."""
        parts = self._parts
        changes = parts.configuration.take_changes()
        if not changes:
            return
        directory = parts.directory
        directory.apply(changes)
        parts.admission.set_limits(directory.limits)
        parts.limiter.set_limits(directory.limits)
        parts.credits.set_endpoints(directory.endpoints)
        parts.book.set_endpoints(directory.endpoints)
        parts.ejector.set_endpoints(directory.endpoints)
        parts.quarantine.set_endpoints(directory.endpoints)
        parts.orders.set_endpoints(directory.endpoints)
        for change in changes:
            self._audit_change(change, now_ms)
            parts.events.emit('configuration-applied', change)

    def _follow_relayed_loads(self, now_ms: int) -> None:
        """Take over load reports that came with grants of credit."""
        for report in self._parts.credits.take_reports():
            # A relayed report does not say which models are loaded.
            self._parts.book.apply_report(report._replace(models=()), now_ms)

    def _follow_members(self, now_ms: int) -> None:
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

    def _follow_endpoints(self) -> None:
        for change in self._parts.ejector.take_changes():
            is_out = change.after is EndpointHealth.EJECTED
            name = 'endpoint-ejected' if is_out else 'endpoint-readmitted'
            self._parts.events.emit(name, change)

    def _report_demand(self, now_ms: int) -> None:
        """Tell the credit ledger what waits and runs, by pool and tier."""
        parts = self._parts
        waiting: dict[str, int] = {}
        for tracked in parts.table:
            if tracked.attempt is None:
                organisation = tracked.limits.organisation
                waiting[organisation] = waiting.get(organisation, 0) + 1
        for organisation in waiting.keys() | self._waiting_organisations:
            parts.limiter.set_demand(organisation, waiting.get(organisation, 0))
        self._waiting_organisations = set(waiting)
        pools = set(parts.admission.pools()) | set(parts.table.running_pools())
        for pool in pools:
            by_tier = dict(parts.admission.waiting(pool))
            for tracked in parts.table.running(pool):
                tier = tracked.limits.tier
                by_tier[tier] = by_tier.get(tier, 0) + 1
            parts.credits.set_demand(pool, by_tier, now_ms)

    def _audit_change(self, change: AppliedChange, now_ms: int) -> None:
        """Record an amendment; the instance that proposed it makes it last.

        A state that was taken over whole brings thousands of changes without a
        record of their own, which would flush everything else from the trail.
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
