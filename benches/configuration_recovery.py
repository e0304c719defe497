"""Time until all instances have a configuration after large failures."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from benches.capacity_roles.measuring import encode
from benches.configuration import DOMAINS, MS_PER_S, REGIONS, fold_all, make_records
from benches.configuration_rig import ConfigurationSimulation, make_contract
from savorychute.actions.append_record import AppendRecord
from savorychute.configuration.log_reader import CONFIGURATION_STREAM
from savorychute.configuration.record_codec import encode_record
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.configuration.snapshot_codec import encode_state, split_state
from savorychute.configuration.snapshot_record import SNAPSHOT_KIND, SnapshotRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorychute.actions.send_peer import SendPeer

MEMBERS = 66
RECORDS = 4_000
RECORDS_AFTER_SNAPSHOT = 100
STEP_MS = 100
TIMEOUT_MS = 300_000
SLOW_LOG_MS = 2_500
CUT_MS = 3_600_000
BYTES_PER_KB = 1_000


class RecoveryFigures(NamedTuple):
    """Time and traffic of a recovery.

    ``first_ms`` and ``last_ms`` are the times until the first and the last instance had
    the newest configuration.  Messages and bytes are those of all instances.
    """

    first_ms: int
    last_ms: int
    messages: int
    bytes: int
    log_reads: int
    log_records: int
    log_appends: int


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure each recovery once; the baseline has a fast and available log.

    :param repeats: not used, because the clock is virtual.
    :param rng: chooses items.
    """
    del repeats
    payloads = make_log(rng)
    baseline = measure_restart(MEMBERS, payloads)
    rows = [_make_row('restart of all, log up', baseline, baseline)]

    def slow_down(simulation: ConfigurationSimulation) -> None:
        simulation.log_latency_ms = SLOW_LOG_MS

    slow = measure_restart(MEMBERS, payloads, slow_down)
    rows.append(_make_row('restart of all, log answers in 2.5 s', slow, baseline))

    def take_down(simulation: ConfigurationSimulation) -> None:
        simulation.log.is_up = False
        simulation.after(60_000, lambda: setattr(simulation.log, 'is_up', True))

    down = measure_restart(MEMBERS, payloads, take_down)
    rows.append(_make_row('restart of all, log down for 60 s', down, baseline))
    return rows


def make_log(rng: random.Random) -> list[bytes]:
    """Return a log of the target size, with a snapshot and some amendments.

    :param rng: chooses items.
    """
    records = make_records(RECORDS, rng)
    fold = fold_all(records[:-RECORDS_AFTER_SNAPSHOT])
    snapshot_parts = split_state(
        encode_state(fold), ConfigurationSettings().snapshot_part_bytes
    )
    payloads = [record.payload for record in records]
    payloads += [
        encode_record(
            SnapshotRecord(
                kind=SNAPSHOT_KIND,
                snapshot_id='writer.1',
                through_offset=fold.state.offset,
                part=part,
                parts=len(snapshot_parts),
                data=data,
            )
        )
        for part, data in enumerate(snapshot_parts)
    ]
    return payloads


def measure_restart(
    members: int,
    payloads: list[bytes],
    inject_fault: Callable[[ConfigurationSimulation], None] | None = None,
) -> RecoveryFigures:
    """Start all instances at once on a log whose oldest records have expired.

    :param members: the number of instances.
    :param payloads: the records of the configuration stream.
    :param inject_fault: injects a further fault.
    """
    simulation = ConfigurationSimulation(seed=members, loss_share=0.0)
    for payload in payloads:
        simulation.log.append(AppendRecord('', CONFIGURATION_STREAM, payload))
    simulation.log.expire(CONFIGURATION_STREAM, RECORDS - RECORDS_AFTER_SNAPSHOT)
    simulation.log.appends = 0
    counter = _TrafficCounter(simulation)
    if inject_fault is not None:
        inject_fault(simulation)
    for number in range(members):
        domain = number % DOMAINS
        simulation.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    return _wait_for_all(simulation, counter)


def measure_cut(members: int) -> RecoveryFigures:
    """Cut one region off from the others and from the log for an hour.

    :param members: the number of instances.
    """
    simulation = ConfigurationSimulation(seed=members, tick_ms=1_000)
    for number in range(members):
        domain = number % DOMAINS
        simulation.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    simulation.wait(10_000)
    simulation.cut_regions = {'r0'}
    simulation.cut_from_log = {
        name for name, address in simulation.addresses.items() if address.region == 'r0'
    }
    connected = next(
        name for name in simulation.addresses if name not in simulation.cut_from_log
    )
    for change in range(60):
        simulation.propose(
            connected, f'contract:{change}', 0, make_contract(f'{change}')
        )
        simulation.wait(CUT_MS // 60)
    counter = _TrafficCounter(simulation)
    simulation.cut_regions = set()
    simulation.cut_from_log = set()
    return _wait_for_all(simulation, counter)


class _TrafficCounter:
    """Counts messages and their bytes; each distinct message is encoded once."""

    def __init__(self, simulation: ConfigurationSimulation) -> None:
        self.bytes = 0
        self._messages = simulation.messages
        self._reads = simulation.reads
        self._records = simulation.read_records
        self._sizes: dict[int, int] = {}
        simulation.on_message = self._count

    def figures(
        self, simulation: ConfigurationSimulation, first_ms: int, last_ms: int
    ) -> RecoveryFigures:
        """Return the counts since the start, with the times."""
        return RecoveryFigures(
            first_ms,
            last_ms,
            simulation.messages - self._messages,
            self.bytes,
            simulation.reads - self._reads,
            simulation.read_records - self._records,
            simulation.log.appends,
        )

    def _count(self, sender: str, action: SendPeer) -> None:
        key = hash(action.message)
        if key not in self._sizes:
            encoded = encode(sender, action.instance, action.message)
            self._sizes[key] = len(encoded)
        self.bytes += self._sizes[key]


def _wait_for_all(
    simulation: ConfigurationSimulation, counter: _TrafficCounter
) -> RecoveryFigures:
    start_ms = simulation.now_ms
    first_ms = 0
    while simulation.now_ms - start_ms < TIMEOUT_MS:
        simulation.wait(STEP_MS)
        newest = max(manager.state.offset for manager in simulation.managers.values())
        done = [
            manager.ready and manager.state.offset == newest and newest >= 0
            for manager in simulation.managers.values()
        ]
        if any(done) and not first_ms:
            first_ms = simulation.now_ms - start_ms
        if all(done):
            return counter.figures(simulation, first_ms, simulation.now_ms - start_ms)
    raise RuntimeError(f'{done.count(False)} instances are without a configuration')


def _make_row(
    name: str, figures: RecoveryFigures, baseline: RecoveryFigures
) -> BenchRow:
    suffix = (
        f'{figures.messages} messages, {figures.bytes // BYTES_PER_KB} KB, '
        f'{figures.log_reads} reads of {figures.log_records} records'
    )
    return make_row(
        f'{name}, {MEMBERS} instances: {suffix}',
        figures.last_ms / MS_PER_S,
        's',
        baseline.last_ms / MS_PER_S,
    )
