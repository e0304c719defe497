"""Costs of choosing the home instance of each endpoint."""

from __future__ import annotations

from benches.capacity_roles.measuring import allocated_bytes, time_us
from benches.capacity_roles.member_mesh import make_address
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_endpoints, make_members, make_view
from benches.capacity_roles.target import (
    DAY_S,
    SIZES,
    TARGET_FAILED_PER_DAY,
    TARGET_INSTANCES,
    TARGET_REPLACED_PER_DAY,
    Target,
)
from savorychute.clock import MS_PER_S
from savorychute.membership import HomeTable

MEASURED_CHANGES = 10


@role(
    'home duties by rendezvous',
    'a hash of member and endpoint decides without a message; a member that '
    'joins costs one hash for each endpoint of its region, one that goes a full '
    'choice for its own endpoints',
    'the walk over all endpoints for each change of members, some milliseconds; '
    'endpoints would be kept by region',
    SIZES,
)
def measure_homes(instances: int) -> RoleSample:
    """Measure the table while members join and leave.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    regions = {
        name: document['region'] for name, document in make_endpoints(instances).items()
    }
    table = HomeTable()
    table.set_keys(regions)
    table.set_view(make_view(alive[0], alive))
    region_count = Target(instances).regions

    def change() -> None:
        for number in range(MEASURED_CHANGES):
            joined = make_address(instances + number, region_count)
            table.set_view(make_view(alive[0], (*alive, joined)))
            table.set_view(make_view(alive[0], alive))

    change_us = time_us(change) / (2 * MEASURED_CHANGES)
    changes_per_s = (
        (TARGET_FAILED_PER_DAY + TARGET_REPLACED_PER_DAY)
        * instances
        / TARGET_INSTANCES
        / DAY_S
    )
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(lambda: build_home_table(instances)),
        processor_us_per_s=change_us * changes_per_s,
        busiest_loop_ms=change_us / MS_PER_S,
    )


def build_home_table(instances: int) -> HomeTable:
    """Return a table with the home of every endpoint.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    table = HomeTable()
    table.set_keys(
        {
            name: document['region']
            for name, document in make_endpoints(instances).items()
        }
    )
    table.set_view(make_view(alive[0], alive))
    return table
