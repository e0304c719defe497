"""Runs a gateway as a process."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.clock import SystemClock, SystemWallClock
from savorychute.gateway.daemon.assembly import assemble
from savorychute.gateway.daemon.environment import EndpointPaths, GatewayEnvironment
from savorychute.gateway.daemon.memory_shares import response_limit_bytes
from savorychute.gateway.daemon.path_connector import PathConnector
from savorychute.gateway.daemon.servers import make_budget, open_servers
from savorychute.gateway.daemon.settings_monitor import SettingsMonitor
from savorychute.gateway.daemon.supervisor import keep_running
from savorychute.gateway.paths.path_table import PathTable
from savorychute.gateway.paths.relay_table import RelayTable
from savorychute.gateway.platform_adapter import PLATFORMS
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.http.client_pool import PoolSettings, open_pool
from savorychute.logs import InstanceLog, LogLevel, capture_library_logs, open_log
from savorychute.settings.settings_file import read_schema

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from savorychute.clock import Clock, WallClock
    from savorychute.gateway.daemon.early_listeners import EarlyListeners
    from savorychute.gateway.daemon.gateway_host import GatewayHost
    from savorychute.gateway.settings.gateway_settings import GatewaySettings

EXIT_OK = 0
SEED_BITS = 64
STORE_CONNECTIONS = 8


def run_gateway(path: Path | str, listeners: EarlyListeners | None = None) -> int:
    """Run a gateway until it is signalled to stop; return the exit code.

    SIGTERM and SIGINT start a graceful shutdown; repeated signals have no further
    effect.  SIGHUP reloads the settings.

    :param path: path of the settings file.
    :param listeners: sockets that are listening already, by address.
    :raises SettingsError: if the settings file is not valid.
    """
    settings = read_schema(path, GATEWAY_SCHEMA)
    log = InstanceLog(settings.instance, LogLevel[settings.log_level.upper()])
    with ExitStack() as stack:
        stack.enter_context(open_log(sys.stdout.buffer))
        stack.enter_context(capture_library_logs(log))
        asyncio.run(_serve(path, settings, log, listeners or {}))
    return EXIT_OK


async def _serve(
    path: Path | str,
    settings: GatewaySettings,
    log: InstanceLog,
    listeners: EarlyListeners,
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # SIGHUP is ignored until the host runs; its default action would end the process.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    async with run_host(settings, log, listeners=listeners) as host:
        monitor = SettingsMonitor(path, settings, host.telemetry, host.apply_settings)
        loop.add_signal_handler(signal.SIGHUP, monitor.reload)
        monitor_task = loop.create_task(monitor.run())
        await stop_requested.wait()
        monitor_task.cancel()
        log.info('instance-leaving')
        await host.leave()
    log.info('instance-stopped')


@asynccontextmanager
async def run_host(
    settings: GatewaySettings,
    log: InstanceLog,
    clock: Clock | None = None,
    rng: random.Random | None = None,
    listeners: EarlyListeners | None = None,
    wall: WallClock | None = None,
) -> AsyncIterator[GatewayHost]:
    """Run an assembled gateway until the block ends.

    :param settings: settings of the instance.
    :param log: log of the instance.
    :param clock: monotonic clock; the system's by default.
    :param rng: random number generator; seeded by the system by default.
    :param listeners: sockets that are listening already, by address.
    :param wall: wall clock; the system's by default.
    """
    clock = clock or SystemClock()
    rng = rng or random.Random(random.SystemRandom().getrandbits(SEED_BITS))
    endpoint_pool_settings = PoolSettings(
        connect_timeout_ms=int(settings.connect_timeout_ms),
        response_bytes=response_limit_bytes(settings.response_mb),
    )
    store_pool_settings = PoolSettings(
        connections=STORE_CONNECTIONS, connect_timeout_ms=int(settings.store_timeout_ms)
    )
    paths = _make_paths(settings, clock, rng)
    async with AsyncExitStack() as stack:
        endpoints = stack.enter_context(
            open_pool(endpoint_pool_settings, clock, paths.connector)
        )
        environment = GatewayEnvironment(
            settings=settings,
            adapter=PLATFORMS.get(settings.platform)(),
            endpoints=endpoints,
            paths=paths,
            store=stack.enter_context(open_pool(store_pool_settings, clock)),
            log=log,
            clock=clock,
            wall=wall or SystemWallClock(),
            rng=rng,
            budget=make_budget(settings, clock),
        )
        host, background_work = assemble(environment)
        for name, work in background_work.items():
            supervised = keep_running(name, work, host.telemetry)
            stack.callback(asyncio.create_task(supervised).cancel)
        await stack.enter_async_context(
            open_servers(settings, host, clock, listeners or {}, environment.budget)
        )
        log.info('instance-started', address=str(settings.caller_address))
        yield host


def _make_paths(
    settings: GatewaySettings, clock: Clock, rng: random.Random
) -> EndpointPaths:
    table = PathTable()
    relays = RelayTable(settings.failure_domain, rng)
    connector = PathConnector(table, relays, clock, int(settings.connect_timeout_ms))
    return EndpointPaths(table, relays, connector)
