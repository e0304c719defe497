"""The gateway as a process of its own."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.clock import SystemClock
from savorychute.gateway.admission.overload_guard import OverloadGuard
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.daemon.attempt_sender import AttemptSender
from savorychute.gateway.daemon.gateway_host import GatewayHost
from savorychute.gateway.daemon.loop_timers import LoopTimers
from savorychute.gateway.daemon.peer_group import PeerGroup
from savorychute.gateway.daemon.settings_watch import SettingsWatch
from savorychute.gateway.discovery.instance_directory import InstanceDirectory
from savorychute.gateway.endpoints import load_choosers
from savorychute.gateway.endpoints.chooser import CHOOSERS
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.load_watch import LoadWatch
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.parts import GatewayParts
from savorychute.gateway.platform_adapter import PLATFORMS
from savorychute.gateway.recovery.crash_book import CrashBook
from savorychute.gateway.recovery.retry_allowance import RetryAllowance
from savorychute.gateway.requests.intake import Intake
from savorychute.gateway.settings.key_trust import key_trust_ms
from savorychute.gateway.settings.retry_bounds import read_bounds
from savorychute.gateway.settings.table import GATEWAY_SCHEMA
from savorychute.gateway.store.configuration_listener import ConfigurationListener
from savorychute.gateway.store.endpoint_journal import EndpointJournal
from savorychute.gateway.store.endpoint_listener import EndpointListener
from savorychute.gateway.store.gates import ConfigurationGate, EndpointGate
from savorychute.gateway.store.pace import Pace
from savorychute.gateway.store.reading_plan import ReadingPlan
from savorychute.gateway.store.registration import Registration
from savorychute.gateway.store.shared_reading import SharedReading
from savorychute.gateway.store.topic_follower import TopicFollower
from savorychute.gateway.telemetry import GatewayTelemetry
from savorychute.http.client_pool import (
    ClientPool,
    PoolSettings,
    ServerAddress,
    open_pool,
)
from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_server import HttpServer, listen
from savorychute.logs import InstanceLog, LogLevel, capture_libraries, open_log
from savorychute.member_address import MemberAddress
from savorychute.metrics import Metrics
from savorychute.settings.network_address import NetworkAddress
from savorychute.settings.settings_file import read_schema

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path

    from savorychute.clock import Clock
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.http.server_exchange import ServerExchange

EXIT_OK = 0
SEED_BITS = 64
# A poll of the configuration that hears nothing confirms it as of the poll's begin, so
# what a reader knows grows as old as two polls, and what others know by a question
# more; the rest is for a poll that is lost.
POLL_SHARE = 0.2
# Part of the time in which a leaving endpoint must get nothing new that may pass
# between two reads of the entries; the rest is for other instances' questions and for
# requests under way.
ENDPOINT_READ_SHARE = 0.4
STORE_CONNECTIONS = 8
# Bodies in memory, as a part of what the process may use.
BUFFER_SHARE = 0.15
BYTES_PER_MB = 1 << 20


def run_gateway(path: Path | str) -> int:
    """Run a gateway until it is told to leave; return the exit code.

    SIGTERM and SIGINT make it leave gracefully, however often they come.  SIGHUP
    reads the settings anew.

    :param path: the settings file.
    :raises SettingsError: if it has faults.
    """
    settings = read_schema(path, GATEWAY_SCHEMA)
    log = InstanceLog(settings.instance, LogLevel[settings.log_level.upper()])
    with ExitStack() as stack:
        stack.enter_context(open_log(sys.stdout.buffer))
        stack.enter_context(capture_libraries(log))
        asyncio.run(_serve(path, settings, log))
    return EXIT_OK


async def _serve(path: Path | str, settings: GatewaySettings, log: InstanceLog) -> None:
    loop = asyncio.get_running_loop()
    told_to_leave = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_leave.set)
    # Until there is a host to tell, the signal must not end the process.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    async with run_host(settings, log) as host:
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
) -> AsyncIterator[GatewayHost]:
    """Run an assembled gateway until the block ends.

    :param settings: of the instance.
    :param log: where its lines go.
    :param clock: the time.
    :param rng: the source of its random choices.
    """
    clock = clock or SystemClock()
    rng = rng or random.Random(random.SystemRandom().getrandbits(SEED_BITS))
    adapter = PLATFORMS.get(settings.platform)()
    pool_settings = PoolSettings(connect_timeout_ms=int(settings.connect_timeout_ms))
    async with AsyncExitStack() as stack:
        endpoints = stack.enter_context(open_pool(pool_settings, clock))
        store_settings = PoolSettings(
            connections=STORE_CONNECTIONS,
            connect_timeout_ms=int(settings.store_timeout_ms),
        )
        store = stack.enter_context(open_pool(store_settings, clock))
        host = _assemble(settings, adapter, endpoints, store, log, clock, rng, stack)
        await _listen(settings, host, clock, stack)
        log.info('instance-started', address=str(settings.caller_address))
        yield host


def _assemble(
    settings: GatewaySettings,
    adapter: PlatformAdapter,
    endpoints: ClientPool,
    store: ClientPool,
    log: InstanceLog,
    clock: Clock,
    rng: random.Random,
    stack: AsyncExitStack,
) -> GatewayHost:
    load_choosers()
    metrics = Metrics(settings.instance, GATEWAY_METRICS)
    telemetry = GatewayTelemetry(log, metrics, clock)
    configuration = ConfigurationState(
        key_trust_ms(settings),
        int(settings.configuration_notice_ms),
    )
    crashes = CrashBook()
    attempts = AttemptSender(endpoints, adapter)
    roster = EndpointRoster(crashes.endpoint_ended, clock)
    parts = GatewayParts(
        clock=clock,
        timers=LoopTimers(),
        attempts=attempts,
        configuration=configuration,
        roster=roster,
        model_chooser=CHOOSERS.get('prompt-cache')(settings.failure_domain, rng),
        service_chooser=CHOOSERS.get('least-outstanding')(settings.failure_domain, rng),
        guard=OverloadGuard(rng),
        loads=LoadWatch(attempts, roster, clock),
        allowance=RetryAllowance(read_bounds(settings)),
        crashes=crashes,
        telemetry=telemetry,
    )
    own = MemberAddress(
        settings.instance,
        0,
        settings.region,
        settings.failure_domain,
        settings.caller_address.host,
        settings.caller_address.port,
        settings.peer_port,
    )
    directory = InstanceDirectory(own)
    timeout_ms = int(settings.store_timeout_ms)
    store_address = ServerAddress(*settings.store_address)
    instances = adapter.instance_topic(store, store_address, timeout_ms)
    plan = ReadingPlan(configuration, int(settings.drain_notice_ms), clock)
    journal = EndpointJournal()
    endpoint_listener = EndpointListener(
        roster, journal, plan, adapter.decode_endpoint, telemetry, clock
    )
    reading = SharedReading(
        plan, configuration, journal, endpoint_listener.take_changes, rng
    )
    peers = PeerGroup(
        Registration(instances, own),
        directory,
        crashes,
        plan,
        reading,
        clock,
        rng,
        telemetry,
    )
    intake = Intake(configuration, parts.crashes, rng)
    host = GatewayHost(settings, parts, intake, adapter, peers, directory)
    followers = (
        TopicFollower(
            adapter.configuration_topic(store, store_address, timeout_ms),
            Pace(int(POLL_SHARE * settings.revoke_notice_ms), 0),
            ConfigurationGate(plan),
            ConfigurationListener(
                configuration,
                plan,
                adapter.decode_configuration,
                telemetry,
                host.apply_limits,
            ),
            clock,
            rng,
        ),
        TopicFollower(
            adapter.endpoint_topic(store, store_address, timeout_ms),
            Pace(0, int(ENDPOINT_READ_SHARE * settings.drain_notice_ms)),
            EndpointGate(plan, journal),
            endpoint_listener,
            clock,
            rng,
        ),
    )
    loop = asyncio.get_running_loop()
    for work in (*(follower.run() for follower in followers), peers.run(), host.run()):
        task = loop.create_task(work)
        stack.callback(task.cancel)
    return host


async def _listen(
    settings: GatewaySettings, host: GatewayHost, clock: Clock, stack: AsyncExitStack
) -> None:
    async def serve(
        address: NetworkAddress, handler: Callable[[ServerExchange], None]
    ) -> HttpServer:
        buffered = int(BUFFER_SHARE * settings.memory_mb * BYTES_PER_MB)
        limits = HttpLimits(buffered_bytes=buffered, unread_bytes=buffered)
        server = HttpServer(limits, clock, handler)
        return await stack.enter_async_context(
            listen(server, address.host, address.port)
        )

    await serve(settings.readiness_address, host.take_readiness)
    await serve(settings.discovery_address, host.take_discovery)
    metrics_address = NetworkAddress(
        settings.caller_address.host, settings.metrics_port
    )
    await serve(metrics_address, host.take_metrics)
    host.caller_server = await serve(settings.caller_address, host.take_request)
