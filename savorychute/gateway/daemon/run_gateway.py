"""The gateway as a process of its own."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.clock import SystemClock, SystemWallClock
from savorychute.gateway.daemon.assembly import assemble
from savorychute.gateway.daemon.servers import open_servers
from savorychute.gateway.daemon.settings_watch import SettingsWatch
from savorychute.gateway.daemon.supervisor import keep_running
from savorychute.gateway.daemon.surroundings import Surroundings
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
    """Run a gateway until it is told to leave; return the exit code.

    SIGTERM and SIGINT make it leave gracefully, however often they come.  SIGHUP
    reads the settings anew.

    :param path: the settings file.
    :param listeners: sockets that listen already, by address.
    :raises SettingsError: if it has faults.
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
    told_to_leave = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_leave.set)
    # Until there is a host to tell, the signal must not end the process.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    async with run_host(settings, log, listeners=listeners) as host:
        watch = SettingsWatch(path, settings, host.telemetry, host.apply_settings)
        loop.add_signal_handler(signal.SIGHUP, watch.reload)
        watching = loop.create_task(watch.run())
        await told_to_leave.wait()
        watching.cancel()
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

    :param settings: of the instance.
    :param log: where its lines go.
    :param clock: the time.
    :param rng: the source of its random choices.
    :param listeners: sockets that listen already, by address.
    :param wall: the time of day.
    """
    clock = clock or SystemClock()
    rng = rng or random.Random(random.SystemRandom().getrandbits(SEED_BITS))
    to_endpoints = PoolSettings(connect_timeout_ms=int(settings.connect_timeout_ms))
    to_store = PoolSettings(
        connections=STORE_CONNECTIONS, connect_timeout_ms=int(settings.store_timeout_ms)
    )
    async with AsyncExitStack() as stack:
        around = Surroundings(
            settings=settings,
            adapter=PLATFORMS.get(settings.platform)(),
            endpoints=stack.enter_context(open_pool(to_endpoints, clock)),
            store=stack.enter_context(open_pool(to_store, clock)),
            log=log,
            clock=clock,
            wall=wall or SystemWallClock(),
            rng=rng,
        )
        host, works = assemble(around)
        for name, work in works.items():
            running = keep_running(name, work, host.telemetry)
            stack.callback(asyncio.create_task(running).cancel)
        await stack.enter_async_context(
            open_servers(settings, host, clock, listeners or {})
        )
        log.info('instance-started', address=str(settings.caller_address))
        yield host
