"""Runs the daemon as a process."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from contextlib import ExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.application import Application
from savorychute.clock import NS_PER_MS, SystemClock
from savorychute.daemon.run_host import run_host
from savorychute.daemon.tls import reload_periodically
from savorychute.host_sample import HostSample
from savorychute.instance import Instance
from savorychute.logs import InstanceLog, LogLevel, capture_library_logs, open_log
from savorychute.metrics import Metrics
from savorychute.settings.part_settings import (
    make_host_settings,
    make_instance_settings,
)
from savorychute.telemetry import Telemetry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorychute.clock import Clock
    from savorychute.daemon.host import DaemonHost
    from savorychute.instance.instance_settings import InstanceSettings
    from savorychute.member_address import MemberAddress
    from savorychute.settings.settings import Settings

EXIT_OK = 0
SEED_BITS = 64


def run_daemon(settings: Settings) -> int:
    """Run an instance until it is signalled to stop; return the exit code.

    SIGTERM and SIGINT start a graceful shutdown; repeated signals have no further
    effect.  SIGHUP reloads the certificate and key.

    :param settings: the settings of the instance.
    """
    log = InstanceLog(settings.instance, LogLevel[settings.log_level.upper()])
    with ExitStack() as stack:
        stack.enter_context(open_log(sys.stdout.buffer))
        stack.enter_context(capture_library_logs(log))
        asyncio.run(_serve(settings, log))
    return EXIT_OK


@asynccontextmanager
async def run_instance(
    settings: Settings,
    log: InstanceLog,
    clock: Clock | None = None,
    rng: random.Random | None = None,
) -> AsyncIterator[DaemonHost]:
    """Run an assembled instance with sockets, log and metrics.

    Any number of instances can run in one event loop.

    :param settings: the settings of the instance.
    :param log: the log of the instance.
    :param clock: the clock that the instance uses.
    :param rng: the source of its random choices.
    """
    clock = clock or SystemClock()
    rng = rng or random.Random(random.SystemRandom().getrandbits(SEED_BITS))
    telemetry = Telemetry(
        log, Metrics(settings.instance), settings.operator_token_hashes.values()
    )
    part_settings = _set_epoch(make_instance_settings(settings), clock)
    instances: list[Instance] = []

    def make_instance(address: MemberAddress) -> Instance:
        instance = Instance(part_settings, address, rng)
        telemetry.watch(instance.events)
        Application(settings, instance, log).set_up_extensions()
        instances.append(instance)
        return instance

    async with run_host(make_host_settings(settings), make_instance, clock) as host:
        telemetry.set_gauge_sources(
            lambda: instances[0].status(clock.now_ms()), lambda: sample_host(host)
        )
        host.metrics = telemetry.render
        address = host.address
        log.info(
            'instance-started',
            address=f'{address.host}:{address.caller_port}',
            incarnation=address.incarnation,
            region=address.region,
            failure_domain=address.failure_domain,
        )
        yield host


def sample_host(host: DaemonHost) -> HostSample:
    """Return the socket counters of a host.

    :param host: the host of one instance.
    """
    return HostSample(
        open_connections=host.server.open_connections,
        peer_sent_bytes=host.peers.sent_bytes,
        peer_dropped=host.peers.dropped,
        peer_rejected=host.peers.rejected,
    )


async def _serve(settings: Settings, log: InstanceLog) -> None:
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    async with run_instance(settings, log) as host:
        interval_ms = settings.tls_reload_interval_ms
        async with reload_periodically(host.tls, interval_ms, log) as reload:
            loop.add_signal_handler(signal.SIGHUP, reload)
            await shutdown_requested.wait()
            await host.drain()
    log.info('instance-stopped')


def _set_epoch(settings: InstanceSettings, clock: Clock) -> InstanceSettings:
    """Set the offset that converts times of the clock to Unix time."""
    offset_ms = time.time_ns() // NS_PER_MS - clock.now_ms()
    return settings._replace(epoch_offset_ms=offset_ms)
