"""Fold, memory, join, propagation and conflicts of the configuration."""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

from benches.bench_row import BenchRow, make_row
from benches.configuration_conflicts import (
    burst_of_operators,
    day_of_changes,
    simulate_changes,
)
from benches.configuration_rig import (
    ConfigurationSimulation,
    make_contract,
    make_endpoint,
)
from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.record_codec import decode_record, encode_record
from savorychute.configuration.settings import ConfigurationSettings
from savorychute.configuration.snapshot_codec import decode_state, encode_state
from savorychute.inputs.log_record import LogRecord

if TYPE_CHECKING:
    from collections.abc import Callable

CONTRACTS = 1_400
ENDPOINTS = 2_100
AMENDMENTS = 10_000
MEMBERS = 530
REGIONS = 8
DOMAINS = 22
PROPAGATED_CHANGES = 5
LOSS_SHARE = 0.1
CHANGES_PER_DAY = 1_500
BURST_OPERATORS = 50
BYTES_PER_MB = 1_000_000
MS_PER_S = 1_000


class PropagationFigures(NamedTuple):
    """Times until changes were in force, and the traffic that this caused."""

    p50_ms: float
    p95_ms: float
    worst_ms: float
    reads_per_s: float
    messages_per_s: float


def run(repeats: int, rng: random.Random) -> list[BenchRow]:
    """Measure everything; the propagation once, because it is deterministic.

    :param repeats: number of measurements of each time; the median is returned.
    :param rng: chooses items and seeds.
    """
    records = make_records(AMENDMENTS, rng)
    return [
        *_bench_fold(records, repeats),
        *_bench_memory(records),
        *_bench_join(records, repeats),
        *_bench_propagation(),
        *_bench_conflicts(rng),
    ]


def make_records(count: int, rng: random.Random) -> list[LogRecord]:
    """Return amendments: first every item of the target size, then changes.

    :param count: the total number of amendments.
    :param rng: chooses the items that change.
    """
    names = [f'contract:organisation-{number:04}' for number in range(CONTRACTS)]
    names += [f'endpoint:engine-{number:04}' for number in range(ENDPOINTS)]
    versions: dict[str, int] = {}
    records = []
    for offset in range(count):
        item = names[offset] if offset < len(names) else rng.choice(names)
        kind, _, name = item.partition(':')
        document = make_contract(name) if kind == 'contract' else make_endpoint(name)
        record = AmendmentRecord(
            kind=AMENDMENT_KIND,
            record_id=f'instance-0123.17.{offset}.abcdef12',
            operator='asha',
            instance='instance-0123',
            item=item,
            base_version=versions.get(item, 0),
            seen_offset=offset - 1,
            document=document,
            why='more tokens for the harvest',
            at_ms=offset,
        )
        versions[item] = offset + 1
        records.append(LogRecord(offset, encode_record(record)))
    return records


def fold_all(records: list[LogRecord]) -> ConfigurationFold:
    """Return a fold with all the records applied."""
    fold = ConfigurationFold()
    for record in records:
        fold.apply(record)
    return fold


def measure_propagation(
    members: int, settings: ConfigurationSettings, changes: int = PROPAGATED_CHANGES
) -> PropagationFigures:
    """Measure the propagation of changes under loss, without offsets from membership.

    :param members: the number of members.
    :param settings: the settings of propagation.
    :param changes: the number of consecutive changes.
    """
    simulation = ConfigurationSimulation(seed=members, settings=settings)
    for number in range(members):
        domain = number % DOMAINS
        simulation.add(f'i{number:03}', f'r{domain % REGIONS}', f'd{domain:02}')
    simulation.wait(8_000)
    simulation.loss_share = LOSS_SHARE
    simulation.reads = simulation.messages = 0
    started_ms = simulation.now_ms
    delays_ms: list[float] = []
    for change in range(changes):
        simulation.applied.clear()
        proposed_ms = simulation.now_ms
        proposer = simulation.rng.choice(sorted(simulation.managers))
        simulation.propose(
            proposer, f'contract:{change}', 0, make_contract(f'{change}')
        )
        simulation.wait(12_000)
        delays_ms += [each.at_ms - proposed_ms for each in simulation.applied]
        if len(simulation.applied) != members:
            raise RuntimeError(
                f'{members - len(simulation.applied)} members '
                'did not receive the change'
            )
    elapsed_s = (simulation.now_ms - started_ms) / MS_PER_S
    percentiles = statistics.quantiles(delays_ms, n=100)
    return PropagationFigures(
        p50_ms=percentiles[49],
        p95_ms=percentiles[94],
        worst_ms=max(delays_ms),
        reads_per_s=simulation.reads / elapsed_s,
        messages_per_s=simulation.messages / elapsed_s,
    )


def _median_ms(call: Callable[[], object], repeats: int) -> float:
    times_ms = []
    for _ in range(repeats):
        gc.collect()
        started_s = time.perf_counter()
        call()
        times_ms.append((time.perf_counter() - started_s) * MS_PER_S)
    return statistics.median(times_ms)


def _bench_fold(records: list[LogRecord], repeats: int) -> list[BenchRow]:
    fold_ms = _median_ms(lambda: fold_all(records), repeats)
    decode_ms = _median_ms(
        lambda: [decode_record(record.payload) for record in records], repeats
    )
    return [make_row('fold of 10,000 amendments / decoding', fold_ms, 'ms', decode_ms)]


def _bench_memory(records: list[LogRecord]) -> list[BenchRow]:
    encoded_state = encode_state(fold_all(records))
    gc.collect()
    tracemalloc.start()
    fold = ConfigurationFold()
    fold.adopt(*decode_state(encoded_state))
    gc.collect()
    retained_bytes = tracemalloc.get_traced_memory()[0]
    documents = [
        *fold.state.contracts.values(),
        *fold.state.endpoints.values(),
    ]
    decoded_bytes = tracemalloc.get_traced_memory()[0] - retained_bytes
    tracemalloc.stop()
    del documents
    name = 'resident state of 1,400 contracts and 2,100 endpoints / decoded'
    return [
        make_row(
            name, retained_bytes / BYTES_PER_MB, 'MB', decoded_bytes / BYTES_PER_MB
        )
    ]


def _bench_join(records: list[LogRecord], repeats: int) -> list[BenchRow]:
    fold = fold_all(records)
    encoded_state = encode_state(fold)

    def join() -> None:
        joined = ConfigurationFold()
        joined.adopt(*decode_state(encoded_state))

    log_bytes = sum(len(record.payload) for record in records)
    return [
        make_row(
            'join from a peer / fold of the log',
            _median_ms(join, repeats),
            'ms',
            _median_ms(lambda: fold_all(records), repeats),
        ),
        make_row('join from a peer / log', len(encoded_state), 'bytes', log_bytes),
        make_row(
            'hand over the state / take it',
            _median_ms(lambda: encode_state(fold), repeats),
            'ms',
            _median_ms(join, repeats),
        ),
    ]


def _bench_propagation() -> list[BenchRow]:
    propagated = measure_propagation(MEMBERS, ConfigurationSettings())
    polling_settings = ConfigurationSettings(
        pollers_per_domain=MEMBERS, poll_interval_ms=5_000, push_fanout=0
    )
    polled = measure_propagation(MEMBERS, polling_settings)
    suffix = 'under 10 % loss / all poll each 5 s'
    return [
        make_row(f'in force, median {suffix}', propagated.p50_ms, 'ms', polled.p50_ms),
        make_row(f'in force, 95th {suffix}', propagated.p95_ms, 'ms', polled.p95_ms),
        make_row(
            f'in force, worst {suffix}', propagated.worst_ms, 'ms', polled.worst_ms
        ),
        make_row(
            f'log reads {suffix}', propagated.reads_per_s, '1/s', polled.reads_per_s
        ),
        make_row(
            f'messages {suffix}',
            propagated.messages_per_s,
            '1/s',
            polled.messages_per_s,
        ),
    ]


def _bench_conflicts(rng: random.Random) -> list[BenchRow]:
    rows = []
    for name, starts_s in (
        ('1,500 changes a day', day_of_changes(CHANGES_PER_DAY, rng)),
        ('a burst of 50 operators', burst_of_operators(BURST_OPERATORS, rng)),
    ):
        seed = rng.random()
        per_item = simulate_changes(starts_s, True, random.Random(seed))
        whole = simulate_changes(starts_s, False, random.Random(seed))
        rows += [
            make_row(
                f'false conflicts, {name}, per item / whole document',
                per_item.false_share * 100,
                '%',
                whole.false_share * 100,
            ),
            make_row(
                f'attempts, {name}, per item / whole document',
                per_item.attempts,
                '',
                whole.attempts,
            ),
        ]
    return rows
