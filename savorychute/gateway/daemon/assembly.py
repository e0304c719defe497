"""Puts the parts of a gateway together."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.configuration.configuration_state import ConfigurationState
from savorychute.gateway.daemon.attempt_sender import AttemptSender
from savorychute.gateway.daemon.duty_assembly import make_duty_side, make_duty_worker
from savorychute.gateway.daemon.entry_keeper import EntryKeeper
from savorychute.gateway.daemon.gateway_host import GatewayHost
from savorychute.gateway.daemon.loop_timers import LoopTimers
from savorychute.gateway.daemon.peer_group import PeerGroup
from savorychute.gateway.daemon.peer_messages import PeerParts
from savorychute.gateway.discovery.instance_directory import InstanceDirectory
from savorychute.gateway.dispatch import load_choosers
from savorychute.gateway.dispatch.chooser import CHOOSERS
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.lane_demand import LaneDemand
from savorychute.gateway.dispatch.overload_guard import OverloadGuard
from savorychute.gateway.dispatch.shortages import Shortages
from savorychute.gateway.endpoint_telemetry import EndpointTelemetry
from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
from savorychute.gateway.endpoints.load_watch import LoadWatch
from savorychute.gateway.endpoints.statement_book import StatementBook
from savorychute.gateway.metric_rows import GATEWAY_METRICS
from savorychute.gateway.parts import GatewayParts
from savorychute.gateway.permits.permit_desk import PermitDesk
from savorychute.gateway.recovery.crash_table import CrashTable
from savorychute.gateway.recovery.retry_allowance import RetryAllowance
from savorychute.gateway.requests.intake import Intake
from savorychute.gateway.settings.key_trust import key_trust_ms
from savorychute.gateway.settings.retry_bounds import read_bounds
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
from savorychute.gateway.telemetry import GatewayTelemetry
from savorychute.http.client_pool import ServerAddress
from savorychute.member_address import MemberAddress
from savorychute.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from savorychute.gateway.daemon.surroundings import Surroundings
    from savorychute.gateway.duties.usage_counter import UsageCounter
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.gateway.store.keyed_topic import KeyedTopic

# Parts of the time in which a configuration must be in force.  A poll that hears nothing
# confirms what held at its begin, so what a reader knows grows as old as two polls; one
# whose knowledge is older is cut off.  The rest is for asking each reader in turn, and
# for reading by oneself when none is fresh.
POLL_SHARE = 0.25
VOUCH_SHARE = 0.6
# Part of the time in which a leaving endpoint must get nothing new that may pass
# between two reads of the entries; the rest is for other instances' questions and for
# requests under way.
ENDPOINT_READ_SHARE = 0.4


class Topics(NamedTuple):
    """The topics of the platform's store."""

    configuration: KeyedTopic
    endpoints: KeyedTopic
    instances: KeyedTopic
    duties: KeyedTopic


class Assembly(NamedTuple):
    """The host, and the work that runs besides requests, by name."""

    host: GatewayHost
    works: dict[str, Callable[[], Awaitable[None]]]


def assemble(around: Surroundings) -> Assembly:
    """Return a gateway that is not running yet.

    :param around: what it is given.
    """
    settings = around.settings
    eras = StoreEra()
    topics = _open_topics(around, eras)
    demand = LaneDemand()
    side = make_duty_side(around)
    parts = _make_parts(around, demand, side.ledger)
    calls = parts.telemetry.calls
    plan = ReadPlan(parts.configuration, int(settings.drain_notice_ms), around.clock)
    journal = EndpointJournal()
    entries = EndpointListener(
        parts.roster,
        journal,
        plan,
        around.adapter.decode_endpoint,
        parts.telemetry,
        around.clock,
    )
    reading = SharedReader(
        plan,
        parts.configuration,
        journal,
        entries.apply_changes,
        eras,
        int(VOUCH_SHARE * settings.configuration_notice_ms),
        around.rng,
    )
    own = _find_address(settings)
    directory = InstanceDirectory(own)
    entry = EntryKeeper(
        Registration(topics.instances, own, calls.counter_for('instances')),
        parts.allowance,
        around.clock,
        around.rng,
        parts.telemetry,
    )
    peer_parts = PeerParts(
        directory,
        parts.crashes,
        demand,
        parts.shortages,
        parts.statements,
        parts.permits,
        parts.roster.steady_streams,
        plan,
        reading,
        side.candidates,
        side.spread,
        side.time,
    )
    peers = PeerGroup(
        entry, eras, peer_parts, around.clock, around.rng, parts.telemetry
    )
    intake = Intake(parts.configuration, parts.crashes, around.rng)
    duties = make_duty_worker(around, side, topics.duties, eras, parts, plan)
    host = GatewayHost(
        settings, parts, intake, around.adapter, peers, directory, duties
    )
    configuration = ConfigurationListener(
        parts.configuration,
        plan,
        around.adapter.decode_configuration,
        parts.telemetry,
        host.apply_limits,
    )
    works: dict[str, Callable[[], Awaitable[None]]] = {
        'configuration': TopicFollower(
            topics.configuration,
            ReadTiming(int(POLL_SHARE * settings.configuration_notice_ms), 0),
            ConfigurationGate(plan),
            configuration,
            around.clock,
            around.rng,
            calls.counter_for('configuration'),
        ).run,
        'endpoints': TopicFollower(
            topics.endpoints,
            ReadTiming(0, int(ENDPOINT_READ_SHARE * settings.drain_notice_ms)),
            EndpointGate(plan, journal),
            entries,
            around.clock,
            around.rng,
            calls.counter_for('endpoints'),
        ).run,
        'peers': peers.run,
        'housekeeping': host.run,
    }
    if duties is not None:
        works['duties'] = duties.run
    return Assembly(host, works)


def _open_topics(around: Surroundings, eras: StoreEra) -> Topics:
    access = StoreAccess(
        around.store,
        ServerAddress(*around.settings.store_address),
        int(around.settings.store_timeout_ms),
        eras,
    )
    return Topics(
        around.adapter.configuration_topic(access),
        around.adapter.endpoint_topic(access),
        around.adapter.instance_topic(access),
        around.adapter.duty_topic(access),
    )


def _make_parts(
    around: Surroundings, demand: LaneDemand, usage: UsageCounter
) -> GatewayParts:
    load_choosers()
    settings, clock, rng = around.settings, around.clock, around.rng
    crashes = CrashTable()
    metrics = Metrics(settings.instance, GATEWAY_METRICS)
    telemetry = GatewayTelemetry(around.log, metrics, clock)
    of_endpoints = EndpointTelemetry(telemetry)
    statements = StatementBook(of_endpoints)
    timers = LoopTimers()
    permits = PermitDesk(statements.limits, clock, timers)
    attempts = AttemptSender(
        around.endpoints, around.adapter, statements, permits, of_endpoints, clock
    )
    roster = EndpointRoster(crashes.endpoint_ended, clock, statements.leaving)
    models = EngineModels()
    shortages = Shortages()
    return GatewayParts(
        clock=clock,
        timers=timers,
        attempts=attempts,
        configuration=ConfigurationState(
            key_trust_ms(settings), int(settings.configuration_notice_ms)
        ),
        roster=roster,
        model_chooser=CHOOSERS.get('prompt-cache')(
            settings.failure_domain, rng, demand, models
        ),
        service_chooser=CHOOSERS.get('least-outstanding')(settings.failure_domain, rng),
        guard=OverloadGuard(rng, shortages),
        shortages=shortages,
        engines=models,
        loads=LoadWatch(attempts, roster, statements, permits, clock),
        statements=statements,
        permits=permits,
        allowance=RetryAllowance(read_bounds(settings), clock.now_ms()),
        crashes=crashes,
        usage=usage,
        telemetry=telemetry,
        endpoint_telemetry=of_endpoints,
    )


def _find_address(settings: GatewaySettings) -> MemberAddress:
    """Return this instance's address; its incarnation is set when it registers."""
    return MemberAddress(
        settings.instance,
        0,
        settings.region,
        settings.failure_domain,
        settings.caller_address.host,
        settings.caller_address.port,
        settings.peer_port,
    )
