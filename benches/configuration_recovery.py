"""Time until all instances have a configuration again, after large failures."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from benches.capacity_roles.measuring import encode
from benches.configuration import DOMAINS, MS_PER_S, REGIONS, fold_all, make_records
from benches.configuration_rig import Rig, make_contract
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
SUFFIX = 100
STEP_MS = 100
LIMIT_MS = 300_000
SLOW_LOG_MS = 2_500
CUT_MS = 3_600_000
KB = 1_000


class RecoveryFigures(NamedTuple):
    """What a recovery took; messages and bytes are of all instances."""

    first_ms: int
    last_ms: int
    messages: int
    bytes: int
    log_reads: int
    log_records: int
    log_appends: int


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure each recovery once; the baseline is the log up and quick.

    :param repeats: not used, because the clock is virtual.
    :param rng: chooses items.
    """
    del repeats
    payloads = make_log(rng)
    usual = measure_restart(MEMBERS, payloads)
    rows = [_make_row('restart of all, log up', usual, usual)]

    def slow_down(rig: Rig) -> None:
        rig.log_latency_ms = SLOW_LOG_MS

    slow = measure_restart(MEMBERS, payloads, slow_down)
    rows.append(_make_row('restart of all, log answers in 2.5 s', slow, usual))

    def take_down(rig: Rig) -> None:
        rig.log.is_up = False
        rig.after(60_000, lambda: setattr(rig.log, 'is_up', True))

    down = measure_restart(MEMBERS, payloads, take_down)
    rows.append(_make_row('restart of all, log down for 60 s', down, usual))
    return rows


def make_log(rng: random.Random) -> list[bytes]:
    """Return a log at the target's size: a snapshot and some amendments.

    :param rng: chooses items.
    """
    records = make_records(RECORDS, rng)
    fold = fold_all(records[:-SUFFIX])
    slices = split_state(
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
                parts=len(slices),
                data=data,
            )
        )
        for part, data in enumerate(slices)
    ]
    return payloads


def measure_restart(
    members: int,
    payloads: list[bytes],
    disturb: Callable[[Rig], None] | None = None,
) -> RecoveryFigures:
    """Start all instances at once on a log whose beginning has expired.

    :param members: how many.
    :param payloads: the configuration's stream.
    :param disturb: what else goes wrong.
    """
    rig = Rig(seed=members, loss_share=0.0)
    for payload in payloads:
        rig.log.append(AppendRecord('', CONFIGURATION_STREAM, payload))
    rig.log.expire(CONFIGURATION_STREAM, RECORDS - SUFFIX)
    rig.log.appends = 0
    meter = _Meter(rig)
    if disturb is not None:
        disturb(rig)
    for number in range(members):
        domain = number % DOMAINS
        rig.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    return _wait_for_all(rig, meter)


def measure_cut(members: int) -> RecoveryFigures:
    """Cut one region off from the others and from the log for an hour.

    :param members: how many.
    """
    rig = Rig(seed=members, tick_ms=1_000)
    for number in range(members):
        domain = number % DOMAINS
        rig.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    rig.wait(10_000)
    rig.cut_regions = {'r0'}
    rig.log_is_cut_from = {
        name for name, address in rig.addresses.items() if address.region == 'r0'
    }
    inside = next(name for name in rig.addresses if name not in rig.log_is_cut_from)
    for change in range(60):
        rig.propose(inside, f'contract:{change}', 0, make_contract(f'{change}'))
        rig.wait(CUT_MS // 60)
    meter = _Meter(rig)
    rig.cut_regions = set()
    rig.log_is_cut_from = set()
    return _wait_for_all(rig, meter)


class _Meter:
    """Counts messages and their bytes, encoding one of each size."""

    def __init__(self, rig: Rig) -> None:
        self.bytes = 0
        self._messages = rig.messages
        self._reads = rig.reads
        self._records = rig.read_records
        self._sizes: dict[int, int] = {}
        rig.on_message = self._count

    def figures(self, rig: Rig, first_ms: int, last_ms: int) -> RecoveryFigures:
        """Return what was counted."""
        return RecoveryFigures(
            first_ms,
            last_ms,
            rig.messages - self._messages,
            self.bytes,
            rig.reads - self._reads,
            rig.read_records - self._records,
            rig.log.appends,
        )

    def _count(self, sender: str, action: SendPeer) -> None:
        key = hash(action.message)
        if key not in self._sizes:
            encoded = encode(sender, action.instance, action.message)
            self._sizes[key] = len(encoded)
        self.bytes += self._sizes[key]


def _wait_for_all(rig: Rig, meter: _Meter) -> RecoveryFigures:
    begun_ms = rig.now_ms
    first_ms = 0
    while rig.now_ms - begun_ms < LIMIT_MS:
        rig.wait(STEP_MS)
        newest = max(keeper.state.offset for keeper in rig.keepers.values())
        done = [
            keeper.ready and keeper.state.offset == newest and newest >= 0
            for keeper in rig.keepers.values()
        ]
        if any(done) and not first_ms:
            first_ms = rig.now_ms - begun_ms
        if all(done):
            return meter.figures(rig, first_ms, rig.now_ms - begun_ms)
    raise RuntimeError(f'{done.count(False)} instances are without a configuration')


def _make_row(name: str, figures: RecoveryFigures, usual: RecoveryFigures) -> BenchRow:
    suffix = (
        f'{figures.messages} messages, {figures.bytes // KB} KB, '
        f'{figures.log_reads} reads of {figures.log_records} records'
    )
    return make_row(
        f'{name}, {MEMBERS} instances: {suffix}',
        figures.last_ms / MS_PER_S,
        's',
        usual.last_ms / MS_PER_S,
    )
