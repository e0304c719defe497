"""Costs of an instance that wants or holds a lease."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from benches.capacity_roles.counting_log import CountingLog
from benches.capacity_roles.part_mesh import PartMesh, choose_sampled
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.target import SIZES, Target
from savorychute.actions import AppendRecord, ReadRecords
from savorychute.clock import MS_PER_S
from savorychute.leases.lease_manager import LeaseManager
from savorychute.leases.lease_settings import LeaseSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action

TICK_MS = 100
WARM_UP_MS = 60_000
WINDOW_MS = 30_000
WINDOWS = 3
# Assumed: one lease for each region, wanted by two instances of it.
CLAIMANTS_PER_LEASE = 2


class SimulatedLeaseHolder:
    """A lease manager that reads a log in memory.

    :param instance: the name of the instance.
    :param lease: the lease that it wants.
    :param log: the log shared by all instances.
    :param rng: random numbers for the manager.
    """

    def __init__(
        self, instance: str, lease: str, log: CountingLog, rng: Random
    ) -> None:
        self.manager = LeaseManager(LeaseSettings(), instance, rng)
        self.manager.want(lease)
        self.lease = lease
        self._log = log

    def prepare(self, now_ms: int) -> None:
        """Do nothing; lease renewals do not depend on load."""

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Tick the lease manager."""
        self.manager.take_changes()
        return self.manager.tick(now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Do nothing; leases have no peer messages."""
        del sender, message, now_ms
        return []

    def execute_action(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Execute a read or an append on the log."""
        if isinstance(action, ReadRecords):
            return self.manager.records_read(self._log.read(action), now_ms)
        if isinstance(action, AppendRecord):
            return self.manager.append_finished(self._log.append(action), now_ms)
        return []


@role(
    'lease holder',
    'a claim in the log, renewed every seven seconds by its holder; the number '
    'of leases grows with regions (assumed: one for each region, wanted by two '
    'instances); figures are of an instance that wants a lease',
    'the number of leases: each costs an append every seven seconds, so a lease '
    'for each model and region would take half of the share of the log',
    SIZES,
)
def measure_lease(instances: int) -> RoleSample:
    """Measure the holders and the instances that also want their leases.

    :param instances: the size of the system.
    """
    regions = Target(instances).regions
    log = CountingLog()
    parts = {
        f'entry-{number:04}': SimulatedLeaseHolder(
            f'entry-{number:04}', f'orders:{number % regions}', log, Random(number)
        )
        for number in range(CLAIMANTS_PER_LEASE * regions)
    }
    mesh = PartMesh(parts, choose_sampled(list(parts), len(parts)), TICK_MS)
    mesh.run(WARM_UP_MS)
    log.reset_counts()
    costs = mesh.measure(WINDOW_MS, WINDOWS)
    held = sum(
        part.manager.holds(part.lease, mesh.now_ms) is not None
        for part in parts.values()
    )
    if held != regions:
        raise RuntimeError(f'{held} of {regions} leases are held')
    instance_seconds = instances * WINDOWS * WINDOW_MS / MS_PER_S
    return RoleSample(
        instances,
        processor_us_per_s=costs.processor_us_per_s,
        log_appends_per_s=log.appends / instance_seconds,
        log_reads_per_s=log.reads / instance_seconds,
    )
