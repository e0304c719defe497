"""Overhead of the daemon compared with a direct connection to the same engine."""

from __future__ import annotations

import asyncio
import os
import statistics
from typing import TYPE_CHECKING

from benches.bench_row import BenchRow, make_row
from benches.daemon_rig import (
    KB_PER_MB,
    EngineRate,
    connect,
    run_daemon_process,
    serve_engine,
)

if TYPE_CHECKING:
    from random import Random

    from benches.daemon_rig import DaemonProcess, PacedEngine, StreamCaller

FIRST_TOKEN_CALLS = 200
STREAMS = 64
TOKENS = 100
GAP_MS = 20.0
TARGET_GAP_MS = 52.0
OPEN_STREAMS = 500
MS_PER_S = 1_000
US_PER_S = 1_000_000


def run(repeats: int, rng: Random) -> list[BenchRow]:  # noqa: ARG001
    """Return first-token time, processor time and memory of the daemon.

    :param repeats: number of measurements, of which the median is returned.
    :param rng: not used; the load is always the same.
    """
    return asyncio.run(_run(repeats))


async def _run(repeats: int) -> list[BenchRow]:
    async with serve_engine() as engine, run_daemon_process(engine) as daemon:
        rows = await _measure_first_token(engine, daemon, repeats)
        rows += await _measure_processor(engine, daemon, repeats)
        rows += await _measure_memory(engine, daemon)
        return rows


async def _measure_first_token(
    engine: PacedEngine, daemon: DaemonProcess, repeats: int
) -> list[BenchRow]:
    engine.rate = EngineRate(1, 1.0)
    direct_first_ms: list[float] = []
    routed_first_ms: list[float] = []
    routed_processor_ms: list[float] = []
    direct_processor_ms: list[float] = []
    for _ in range(repeats):
        before_s = sum(os.times()[:2])
        direct_first_ms += await _time_first_tokens(engine.port)
        direct_processor_ms.append((sum(os.times()[:2]) - before_s) * MS_PER_S)
        before_s = daemon.read_processor_s()
        routed_first_ms += await _time_first_tokens(daemon.port)
        routed_processor_ms.append((daemon.read_processor_s() - before_s) * MS_PER_S)
    rows = [
        make_row(
            'processor time of a request of one token, against engine and caller',
            statistics.median(routed_processor_ms) / FIRST_TOKEN_CALLS,
            'ms',
            statistics.median(direct_processor_ms) / FIRST_TOKEN_CALLS,
        )
    ]
    for name, percent in (('median', 50), ('95 in 100', 95)):
        routed_quantile = statistics.quantiles(routed_first_ms, n=100)[percent - 1]
        direct_quantile = statistics.quantiles(direct_first_ms, n=100)[percent - 1]
        rows.append(
            make_row(
                f'first token through the daemon, {name}',
                routed_quantile,
                'ms',
                direct_quantile,
            )
        )
    return rows


async def _time_first_tokens(port: int) -> list[float]:
    loop = asyncio.get_running_loop()
    caller = await connect(port)
    times_ms = []
    for _ in range(FIRST_TOKEN_CALLS):
        start_s = loop.time()
        caller.send()
        first_s = await caller.first
        await caller.done
        times_ms.append((first_s - start_s) * MS_PER_S)
    caller.transport.close()
    return times_ms


async def _measure_processor(
    engine: PacedEngine, daemon: DaemonProcess, repeats: int
) -> list[BenchRow]:
    engine.rate = EngineRate(TOKENS, GAP_MS)
    routed_s: list[float] = []
    direct_s: list[float] = []
    for _ in range(repeats):
        before_s = daemon.read_processor_s()
        await _run_streams(daemon.port, STREAMS)
        routed_s.append(daemon.read_processor_s() - before_s)
        before_s = sum(os.times()[:2])
        await _run_streams(engine.port, STREAMS)
        direct_s.append(sum(os.times()[:2]) - before_s)
    token_count = STREAMS * TOKENS
    routed_us = statistics.median(routed_s) / token_count * US_PER_S
    direct_us = statistics.median(direct_s) / token_count * US_PER_S
    per_core = TARGET_GAP_MS / MS_PER_S / (routed_us / US_PER_S)
    direct_per_core = TARGET_GAP_MS / MS_PER_S / (direct_us / US_PER_S)
    return [
        make_row(
            'processor time of a token, against engine and caller directly',
            routed_us,
            'us',
            direct_us,
        ),
        make_row(
            f'streams for each core at {TARGET_GAP_MS:.0f} ms between tokens',
            per_core,
            'streams',
            direct_per_core,
        ),
    ]


async def _run_streams(port: int, count: int) -> None:
    callers = [await connect(port) for _ in range(count)]
    for caller in callers:
        caller.send()
    succeeded = [await caller.done for caller in callers]
    for caller in callers:
        caller.transport.close()
    if not all(succeeded):
        raise RuntimeError(f'{succeeded.count(False)} of {count} streams failed')


async def _measure_memory(engine: PacedEngine, daemon: DaemonProcess) -> list[BenchRow]:
    engine.rate = EngineRate(1_000_000, 5_000.0)
    before_kb = daemon.read_memory_kb()
    callers = [await connect(daemon.port) for _ in range(OPEN_STREAMS)]
    await asyncio.sleep(0.5)
    connected_kb = daemon.read_memory_kb()
    await _open_streams(callers)
    open_kb = daemon.read_memory_kb()
    for caller in callers:
        caller.transport.close()
    stream_kb = (open_kb - before_kb) / OPEN_STREAMS
    connection_kb = (connected_kb - before_kb) / OPEN_STREAMS
    return [
        make_row(
            'memory of an open stream, against an idle connection',
            stream_kb,
            'KB',
            connection_kb,
        ),
        make_row(
            'memory of the daemon with no stream open',
            before_kb / KB_PER_MB,
            'MB',
            0.0,
        ),
    ]


async def _open_streams(callers: list[StreamCaller]) -> None:
    for caller in callers:
        caller.send()
    for caller in callers:
        await caller.first
