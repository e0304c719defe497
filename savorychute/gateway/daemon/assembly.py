"""Assembles a gateway from its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.admission.admission_policies import ADMISSION_POLICIES
from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.crash_telemetry import CrashTelemetry
from savorychute.gateway.daemon.attempt_sender import AttemptSender
from savorychute.gateway.daemon.duty_assembly import make_duty_parts, make_duty_worker
from savorychute.gateway.daemon.entry_manager import EntryManager
from savorychute.gateway.daemon.gateway_host import GatewayHost
from savorychute.gateway.daemon.loop_timers import LoopTimers
from savorychute.gateway.daemon.mark_keeper import MarkKeeper
from savorychute.gateway.daemon.memory_shares import (
    HELD_MEMORY_SHARE,
    share_of_memory,
)
from savorychute.gateway.daemon.origin_collector import OriginCollector
from savorychute.gateway.daemon.peer_group import PeerGroup
from savorychute.gateway.daemon.peer_message_router import PeerParts
from savorychute.gateway.daemon.stream_store import StreamStore
from savorychute.gateway.daemon.tunnel_server import TunnelServer
from savorychute.gateway.daemon.verdict_keeper import VerdictKeeper
from savorychute.gateway.discovery.instance_directory import InstanceDirectory
from savorychute.gateway.dispatch import load_choosers
from savorychute.gateway.dispatch.chooser import CHOOSERS
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.finish_forecast import FinishForecast
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.dispatch.partition_demand import PartitionDemand
from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds
from savorychute.gateway.dispatch.shortages import Shortages
from savorychute.gateway.dispatch.speed_policies import EVEN, SPEED_POLICIES
from savorychute.gateway.dispatch.wait_forecast import WaitForecast
from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.load_monitor import LoadMonitor
from savorychute.gateway.endpoints.statement_table import StatementTable
from savorychute.gateway.engine_telemetry import EngineTelemetry
from savorychute.gateway.engines.shared_speeds import SharedSpeeds
from savorychute.gateway.engines.speed_exchange import SpeedExchange
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.moves.departures import Departures
from savorychute.gateway.moves.move_telemetry import MoveTelemetry
from savorychute.gateway.parts import GatewayParts
from savorychute.gateway.path_telemetry import PathTelemetry
from savorychute.gateway.permits.permit_handler import PermitHandler
from savorychute.gateway.recovery.crash_exchange import CrashExchange
from savorychute.gateway.recovery.crash_guard import CrashGuard
from savorychute.gateway.recovery.retry_allowance import RetryAllowance
from savorychute.gateway.requests.intake import Intake
from savorychute.gateway.requests.response_memory import ResponseMemory
from savorychute.gateway.settings.key_trust import read_key_trust_ms
from savorychute.gateway.settings.retry_bounds import read_retry_bounds
from savorychute.gateway.store.configuration_listener import ConfigurationListener
from savorychute.gateway.store.endpoint_journal import EndpointJournal
from savorychute.gateway.store.endpoint_listener import EndpointListener
from savorychute.gateway.store.read_gates import ConfigurationGate, EndpointGate
from savorychute.gateway.store.read_plan import ReadPlan
from savorychute.gateway.store.read_timing import ReadTiming
from savorychute.gateway.store.registration import Registration
from savorychute.gateway.store.shared_reader import SharedReader
from savorychute.gateway.store.store_access import StoreAccess
from savorychute.gateway.store.store_era import StoreEra
from savorychute.gateway.store.topic_follower import TopicFollower
from savorychute.gateway.stream_telemetry import StreamTelemetry
from savorychute.gateway.streams.stream_origins import StreamOrigins
from savorychute.gateway.telemetry import GatewayTelemetry
from savorychute.http.client_pool import ServerAddress
from savorychute.member_address import MemberAddress
from savorychute.metrics import Metrics

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from savorychute.gateway.daemon.environment import GatewayEnvironment
    from savorychute.gateway.duties.usage_counter import UsageCounter
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.record_log import RecordLog

# Shares of the time within which a configuration must be in force.  A poll without a
# change confirms the state at its start, so a reader's state becomes at most two polls
# old; a reader whose state is older cannot reach the store.  The rest of the time is
# for querying each reader in turn, and for reading the store directly if none is fresh.
POLL_SHARE = 0.25
CONFIRM_SHARE = 0.6
# Share of the time within which a leaving endpoint must stop receiving new requests
# that may pass between two reads of the entries.  The rest is for queries from other
# instances and for requests in transit.
ENDPOINT_READ_SHARE = 0.4


class Topics(NamedTuple):
    """The topics of the platform's store."""

    configuration: KeyedTopic
    endpoints: KeyedTopic
    instances: KeyedTopic
    duties: KeyedTopic
    versions: KeyedTopic
    verdicts: KeyedTopic
    streams: RecordLog


class Assembly(NamedTuple):
    """The host, and its background work by name."""

    host: GatewayHost
    background_work: dict[str, Callable[[], Awaitable[None]]]


def assemble(environment: GatewayEnvironment) -> Assembly:
    """Return a gateway that is not running yet.

    :param environment: external dependencies of the gateway.
    """
    settings = environment.settings
    eras = StoreEra()
    topics = _open_topics(environment, eras)
    demand = PartitionDemand()
    duty_parts = make_duty_parts(environment)
    parts, stream_store = _make_parts(environment, demand, duty_parts.ledger, topics)
    calls = parts.telemetry.calls
    plan = ReadPlan(
        parts.configuration, int(settings.drain_notice_ms), environment.clock
    )
    journal = EndpointJournal()
    endpoint_listener = EndpointListener(
        parts.roster,
        journal,
        plan,
        environment.adapter.decode_endpoint,
        parts.telemetry,
        environment.clock,
    )
    shared_reader = SharedReader(
        plan,
        parts.configuration,
        journal,
        endpoint_listener.apply_changes,
        eras,
        int(CONFIRM_SHARE * settings.configuration_notice_ms),
        environment.rng,
    )
    own_address = _make_own_address(settings)
    directory = InstanceDirectory(own_address)
    entry_manager = EntryManager(
        Registration(topics.instances, own_address, calls.counter_for('instances')),
        parts.allowance,
        environment.clock,
        environment.rng,
        parts.telemetry,
    )
    tunnels = TunnelServer(
        parts.roster, environment.paths.table, environment.clock, environment.budget
    )
    path_telemetry = PathTelemetry(parts.telemetry)
    tunnels.on_refused = path_telemetry.tunnel_refused
    tunnels.on_ended = path_telemetry.tunnel_ended
    competition = parts.guard.competition
    crash_exchange = CrashExchange(
        parts.crashes, environment.rng, environment.clock, parts.timers
    )
    peer_parts = PeerParts(
        directory,
        crash_exchange,
        demand,
        parts.shortages,
        parts.statements,
        parts.permits,
        parts.roster.sensitive_streams,
        plan,
        shared_reader,
        duty_parts.candidates,
        duty_parts.broadcaster,
        duty_parts.time,
        environment.paths.relays,
        tunnels,
        parts.origins,
        _make_speed_exchange(parts, environment.rng),
        competition.demand if competition is not None else None,
    )
    peers = PeerGroup(
        entry_manager,
        eras,
        peer_parts,
        environment.paths.connector,
        int(settings.tunnel_port),
        environment.clock,
        environment.rng,
        parts.telemetry,
    )
    intake = Intake(parts.configuration, parts.crashes, environment.rng)
    duties = make_duty_worker(environment, duty_parts, topics.duties, eras, parts, plan)
    host = GatewayHost(
        settings,
        parts,
        intake,
        environment.adapter,
        peers,
        directory,
        tunnels,
        environment.endpoints,
        duties,
    )
    configuration = ConfigurationListener(
        parts.configuration,
        plan,
        environment.adapter.decode_configuration,
        parts.telemetry,
        host.apply_limits,
    )
    background_work: dict[str, Callable[[], Awaitable[None]]] = {
        'configuration': TopicFollower(
            topics.configuration,
            ReadTiming(int(POLL_SHARE * settings.configuration_notice_ms), 0),
            ConfigurationGate(plan),
            configuration,
            environment.clock,
            environment.rng,
            calls.counter_for('configuration'),
        ).run,
        'endpoints': TopicFollower(
            topics.endpoints,
            ReadTiming(0, int(ENDPOINT_READ_SHARE * settings.drain_notice_ms)),
            EndpointGate(plan, journal),
            endpoint_listener,
            environment.clock,
            environment.rng,
            calls.counter_for('endpoints'),
        ).run,
        'peers': peers.run,
        'housekeeping': host.run,
    }
    collector = OriginCollector(stream_store, environment.clock)
    parts.origins.teller.on_collected = collector.collect
    background_work['streams'] = collector.run
    background_work['versions'] = MarkKeeper(
        stream_store,
        parts.origins,
        parts.roster,
        parts.configuration,
        eras,
        environment.clock,
        environment.rng,
        parts.stream_telemetry,
    ).run
    background_work['verdicts'] = VerdictKeeper(
        topics.verdicts,
        parts.crashes,
        crash_exchange,
        eras,
        environment.clock,
        environment.wall,
        environment.rng,
        parts.telemetry,
    ).run
    if duties is not None:
        background_work['duties'] = duties.run
    return Assembly(host, background_work)


def _open_topics(environment: GatewayEnvironment, eras: StoreEra) -> Topics:
    access = StoreAccess(
        environment.store,
        ServerAddress(*environment.settings.store_address),
        int(environment.settings.store_timeout_ms),
        eras,
    )
    return Topics(
        environment.adapter.configuration_topic(access),
        environment.adapter.endpoint_topic(access),
        environment.adapter.instance_topic(access),
        environment.adapter.duty_topic(access),
        environment.adapter.version_topic(access),
        environment.adapter.verdict_topic(access),
        environment.adapter.stream_log(access, environment.settings.region),
    )


def _make_parts(
    environment: GatewayEnvironment,
    demand: PartitionDemand,
    usage: UsageCounter,
    topics: Topics,
) -> tuple[GatewayParts, StreamStore]:
    load_choosers()
    settings, clock, rng = environment.settings, environment.clock, environment.rng
    crashes = CrashGuard(clock.now_ms())
    metrics = Metrics(settings.instance, GATEWAY_METRICS)
    telemetry = GatewayTelemetry(environment.log, metrics, clock)
    crashes.observer = CrashTelemetry(telemetry)
    path_telemetry = PathTelemetry(telemetry)
    environment.paths.table.on_change = path_telemetry.paths_changed
    environment.paths.connector.observer = path_telemetry
    endpoint_telemetry = EndpointTelemetry(telemetry)
    statements = StatementTable(endpoint_telemetry)
    timers = LoopTimers()
    permits = PermitHandler(statements.limits, clock, timers)
    attempts = AttemptSender(
        environment.endpoints,
        environment.adapter,
        statements,
        permits,
        endpoint_telemetry,
        clock,
    )
    roster = EndpointRoster(crashes.endpoint_ended, clock, statements.leaving)
    environment.paths.table.on_silent = roster.notify_path_lost
    roster.on_run_ended = _make_run_end_handler(environment, telemetry)
    crashes.on_conviction = roster.notify_verdict
    moves = Departures(
        MoveTelemetry(telemetry), int(settings.drain_notice_ms), clock, rng
    )
    statements.leaving.on_recorded = roster.on_draining = moves.engine_leaves
    models = EngineModels()
    speeds = SharedSpeeds(
        settings.instance, roster.list_runs, EngineTelemetry(telemetry)
    )
    placement_speeds = PlacementSpeeds(
        SPEED_POLICIES.get(settings.speed_policy)(speeds)
    )
    shortages = Shortages()
    stream_store = StreamStore(topics.versions, topics.streams, clock, telemetry)
    origins = StreamOrigins(stream_store, clock, timers)
    stream_store.table = origins.table
    parts = GatewayParts(
        clock=clock,
        timers=timers,
        attempts=attempts,
        configuration=ConfigurationState(
            read_key_trust_ms(settings), int(settings.configuration_notice_ms)
        ),
        roster=roster,
        model_chooser=CHOOSERS.get('prompt-cache')(
            settings.failure_domain, rng, demand, models, placement_speeds
        ),
        service_chooser=CHOOSERS.get('least-outstanding')(settings.failure_domain, rng),
        guard=OverloadGuard(
            rng,
            shortages,
            ADMISSION_POLICIES.get(settings.admission_policy)(rng, shortages),
        ),
        shortages=shortages,
        engines=models,
        finish=FinishForecast(
            WaitForecast(settings.failure_domain, rng, models, placement_speeds),
            models,
            placement_speeds,
        ),
        speeds=speeds if settings.speed_policy != EVEN else None,
        loads=LoadMonitor(attempts, roster, statements, permits, clock),
        statements=statements,
        permits=permits,
        allowance=RetryAllowance(read_retry_bounds(settings), clock.now_ms()),
        crashes=crashes,
        paths=environment.paths.table,
        origins=origins,
        moves=moves,
        usage=usage,
        response_memory=ResponseMemory(
            share_of_memory(HELD_MEMORY_SHARE, settings.memory_mb)
        ),
        telemetry=telemetry,
        endpoint_telemetry=endpoint_telemetry,
        stream_telemetry=StreamTelemetry(telemetry),
    )
    return parts, stream_store


def _make_run_end_handler(
    environment: GatewayEnvironment, telemetry: GatewayTelemetry
) -> Callable[[EndpointEntry], None]:
    """Return what forgets the connections to an endpoint whose run has ended."""

    def forget(entry: EndpointEntry) -> None:
        telemetry.run_ended(entry)
        environment.endpoints.retire(entry.address)
        environment.paths.relays.forget_endpoint(entry.address)

    return forget


def _make_speed_exchange(
    parts: GatewayParts, rng: random.Random
) -> SpeedExchange | None:
    """Return what tells others the speeds of engines, if they are observed."""
    if parts.speeds is None:
        return None
    rows_ignored = EngineTelemetry(parts.telemetry).rows_ignored
    return SpeedExchange(parts.speeds, rng, rows_ignored)


def _make_own_address(settings: GatewaySettings) -> MemberAddress:
    """Return this instance's address; registering sets its incarnation."""
    return MemberAddress(
        settings.instance,
        0,
        settings.region,
        settings.failure_domain,
        settings.caller_address.host,
        settings.caller_address.port,
        settings.peer_port,
    )
