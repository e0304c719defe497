"""The status figures of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from savorychute.instance.lease_name import name_lease

if TYPE_CHECKING:
    from savorychute.instance.parts import InstanceParts


class StatusDocument(TypedDict):
    """The figures that ``savorychute status`` shows."""

    instance: str
    incarnation: int
    region: str
    failure_domain: str
    ready: bool
    configuration_offset: int
    contracts: int
    endpoints: int
    usable_endpoints: int
    members: int
    suspects: int
    requests_in_progress: int
    waiting_by_pool: dict[str, dict[str, int]]
    log_reachable: bool
    configuration_divergences: int
    snapshot_age_ms: int
    lease_fencing: int | None
    late_orders: dict[str, int]
    unexplained_models: dict[str, int]


def describe_status(parts: InstanceParts, now_ms: int) -> StatusDocument:
    """Return the current figures."""
    view = parts.membership.view()
    directory = parts.directory
    configuration_status = parts.configuration.status(now_ms)
    usable_names = [
        name
        for name in directory.endpoints
        if directory.is_usable(name) and parts.ejector.is_allowed(name, now_ms)
    ]
    waiting = {
        pool: {
            str(tier): count for tier, count in parts.admission.waiting(pool).items()
        }
        for pool in parts.admission.pools()
    }
    return StatusDocument(
        instance=parts.address.instance,
        incarnation=parts.address.incarnation,
        region=parts.address.region,
        failure_domain=parts.address.failure_domain,
        ready=parts.configuration.ready,
        configuration_offset=parts.configuration.state.offset,
        contracts=len(directory.limits),
        endpoints=len(directory.endpoints),
        usable_endpoints=len(usable_names),
        members=len(view.alive),
        suspects=len(view.suspects),
        requests_in_progress=len(parts.request_table),
        waiting_by_pool=waiting,
        log_reachable=not configuration_status.log_is_down,
        configuration_divergences=configuration_status.divergences,
        snapshot_age_ms=configuration_status.snapshot_age_ms,
        lease_fencing=parts.leases.holds(name_lease(parts.address.region), now_ms),
        late_orders=dict(parts.orders.late_orders_by_endpoint),
        unexplained_models=dict(parts.orders.unexplained_by_endpoint),
    )
