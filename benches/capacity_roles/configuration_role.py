"""Costs of reading the configuration; only a few instances poll the log."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from benches.capacity_roles.counting_log import CountingLog
from benches.capacity_roles.measuring import allocated_bytes
from benches.capacity_roles.part_mesh import Costs, PartMesh, choose_sampled
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import (
    make_contract,
    make_contracts,
    make_endpoints,
    make_members,
    make_view,
)
from benches.capacity_roles.target import (
    DAY_S,
    SIZES,
    TARGET_CHANGES_PER_DAY,
    TARGET_INSTANCES,
)
from savorychute.actions import AppendRecord, ReadRecords
from savorychute.clock import MS_PER_S
from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.manager import ConfigurationManager
from savorychute.configuration.record_codec import encode_record
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.inputs.log_record import LogRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress

TICK_MS = 100
WARM_UP_MS = 15_000
WINDOW_MS = 10_000
WINDOWS = 3
SAMPLED_INSTANCES = 32


class SimulatedConfigurationManager:
    """A configuration manager that reads a log in memory.

    :param own: the address of the instance.
    :param alive: all members.
    :param log: the log shared by all instances.
    :param rng: random numbers for the manager.
    """

    def __init__(
        self,
        own: MemberAddress,
        alive: tuple[MemberAddress, ...],
        log: CountingLog,
        rng: Random,
    ) -> None:
        self.manager = ConfigurationManager(ConfigurationSettings(), own, rng)
        self._view = make_view(own, alive)
        self._log = log

    def prepare(self, now_ms: int) -> None:
        """Do nothing; load is made by operators only."""

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Tick the manager; offsets that are sent with pings are left out."""
        self.manager.take_changes()
        return self.manager.tick(self._view, {}, now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Pass a peer message to the measured part."""
        return self.manager.receive(sender, message, self._view, now_ms)

    def execute_action(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Execute a read or an append on the log."""
        if isinstance(action, ReadRecords):
            return self.manager.records_read(self._log.read(action), now_ms)
        if isinstance(action, AppendRecord):
            return self.manager.append_finished(self._log.append(action), now_ms)
        return []


@role(
    'configuration reader and poller',
    'two pollers for each failure domain; a push of news to a few, offsets told '
    'around, and missing records pulled from each other',
    'the state of all contracts and endpoints in the memory of every instance; '
    'reads of the log grow with failure domains, not with instances',
    SIZES,
)
def measure_configuration(instances: int) -> RoleSample:
    """Measure settled configuration managers, and what one change adds.

    The mesh holds one item, because the traffic does not depend on the size of
    the state; the state is measured separately.

    :param instances: the size of the system.
    """
    log = CountingLog()
    log.streams['configuration'] = [make_amendment(0, 'contract:organisation-0000', 0)]
    alive = make_members(instances)
    parts = {
        own.instance: SimulatedConfigurationManager(own, alive, log, Random(number))
        for number, own in enumerate(alive)
    }
    mesh = PartMesh(parts, choose_sampled(list(parts), SAMPLED_INSTANCES), TICK_MS)
    mesh.run(WARM_UP_MS)
    log.reset_counts()
    settled = mesh.measure(WINDOW_MS, WINDOWS)
    reads_per_s = log.reads / (WINDOWS * WINDOW_MS / MS_PER_S) / instances
    log.streams['configuration'].append(
        make_amendment(1, 'contract:organisation-0001', 0)
    )
    changing = mesh.measure(WINDOW_MS, 1)
    check_received(parts)
    costs = add_changes(settled, changing, instances)
    changes_per_s = TARGET_CHANGES_PER_DAY * instances / TARGET_INSTANCES / DAY_S
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(lambda: build_fold(instances)),
        log_appends_per_s=changes_per_s / instances,
        log_reads_per_s=reads_per_s,
        **costs._asdict(),
    )


def add_changes(settled: Costs, changing: Costs, instances: int) -> Costs:
    """Return the costs with changes at the rate of an ordinary day.

    :param settled: costs without a change.
    :param changing: costs with one change in the window.
    :param instances: the size of the system.
    """
    changes_per_s = TARGET_CHANGES_PER_DAY * instances / TARGET_INSTANCES / DAY_S
    changes_per_window = changes_per_s * WINDOW_MS / MS_PER_S
    return Costs(
        *(
            without + max(0.0, with_change - without) * changes_per_window
            for without, with_change in zip(settled, changing, strict=True)
        )
    )


def check_received(parts: dict[str, SimulatedConfigurationManager]) -> None:
    """Raise an error if the change has not reached all instances.

    :param parts: all configuration managers.
    """
    outdated = [name for name, part in parts.items() if part.manager.state.offset < 1]
    if outdated:
        raise RuntimeError(
            f'{len(outdated)} configuration managers have not received the change'
        )


def make_amendment(offset: int, item: str, base_version: int) -> bytes:
    """Return the payload of a change of a contract.

    :param offset: the offset of the record in the log.
    :param item: the item that changes.
    :param base_version: 0 for a new item.
    """
    document = make_contract(offset, 2)
    return encode_amendment(offset, item, base_version, document)


def encode_amendment(
    offset: int, item: str, base_version: int, document: object
) -> bytes:
    """Return the payload of a change.

    :param offset: the offset of the record in the log.
    :param item: the item that changes.
    :param base_version: 0 for a new item.
    :param document: the new document.
    """
    record = AmendmentRecord(
        kind=AMENDMENT_KIND,
        record_id=f'entry-0001.1.{offset}.abcdef12',
        operator='asha',
        instance='entry-0001',
        item=item,
        base_version=base_version,
        seen_offset=offset - 1,
        document=document,  # type: ignore[typeddict-item]
        why='more tokens for the harvest',
        at_ms=offset,
    )
    return encode_record(record)


def build_fold(instances: int) -> ConfigurationFold:
    """Return a fold with all contracts and endpoints of a system.

    :param instances: the size of the system.
    """
    items: list[tuple[str, object]] = [
        (f'contract:{name}', document)
        for name, document in make_contracts(instances).items()
    ]
    items += [
        (f'endpoint:{name}', document)
        for name, document in make_endpoints(instances).items()
    ]
    fold = ConfigurationFold()
    for offset, (item, document) in enumerate(items):
        payload = encode_amendment(offset, item, 0, document)
        fold.apply(LogRecord(offset, payload))
    if len(fold.state.versions) != len(items):
        raise RuntimeError('the fold refused some items')
    return fold
