"""Assembles the parts of an instance that carry out duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S
from savorychute.gateway.daemon.duty_worker import DutyPlatformClient, DutyWorker
from savorychute.gateway.daemon.server_planner import ServerPlanner
from savorychute.gateway.duties.duty_candidates import DutyCandidates
from savorychute.gateway.duties.duty_claims import DutyClaims
from savorychute.gateway.duties.duty_kind import DutyKind
from savorychute.gateway.duties.duty_lease import DUTY_LEASE
from savorychute.gateway.duties.server_duty import ServerDuty
from savorychute.gateway.duties.server_policies import SERVER_POLICIES
from savorychute.gateway.duties.true_time import TrueTime
from savorychute.gateway.duties.usage_aggregator import UsageAggregator
from savorychute.gateway.duties.usage_broadcaster import UsageBroadcaster
from savorychute.gateway.duties.usage_counter import UsageCounter
from savorychute.gateway.duties.usage_duty import UsageDuty
from savorychute.gateway.duties.usage_windows import UsageWindows
from savorychute.gateway.duty_telemetry import DutyTelemetry
from savorychute.http.client_pool import ServerAddress

if TYPE_CHECKING:
    from savorychute.gateway.daemon.environment import GatewayEnvironment
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.read_plan import ReadPlan
    from savorychute.gateway.store.store_era import StoreEra


class DutyParts(NamedTuple):
    """The parts for duties; ``broadcaster`` is None if there are no duties."""

    kinds: frozenset[DutyKind]
    windows: UsageWindows
    time: TrueTime
    ledger: UsageCounter
    gathering: UsageAggregator
    candidates: DutyCandidates
    broadcaster: UsageBroadcaster | None


def make_duty_parts(environment: GatewayEnvironment) -> DutyParts:
    """Return the parts that count requests and exchange counts with other instances.

    :param environment: external dependencies of the gateway.
    """
    settings = environment.settings
    kinds: frozenset[DutyKind] = frozenset()
    if settings.duty_address is not None:
        kinds = environment.adapter.decode_duties(settings.duties)
    windows = UsageWindows(
        int(MS_PER_S * settings.usage_window_s), int(MS_PER_S * settings.usage_due_s)
    )
    time = TrueTime(environment.clock, environment.wall)
    ledger = UsageCounter(windows if DutyKind.USAGE in kinds else None, time)
    gathering = UsageAggregator()
    candidates = DutyCandidates()
    broadcaster = UsageBroadcaster(candidates, ledger, gathering) if kinds else None
    return DutyParts(kinds, windows, time, ledger, gathering, candidates, broadcaster)


def make_duty_worker(
    environment: GatewayEnvironment,
    duty_parts: DutyParts,
    topic: KeyedTopic,
    eras: StoreEra,
    parts: GatewayParts,
    plan: ReadPlan,
) -> DutyWorker | None:
    """Return the worker that carries out duties, or None if there are no duties.

    :param environment: external dependencies of the gateway.
    :param duty_parts: the parts that count usage.
    :param topic: the topic in which duties are claimed.
    :param eras: the newest known era of the store.
    :param parts: state and ports that all requests share.
    :param plan: states the age of the known endpoint entries.
    """
    settings = environment.settings
    if duty_parts.broadcaster is None or settings.duty_address is None:
        return None
    claims = DutyClaims(settings.instance, DUTY_LEASE, environment.rng, eras)
    usage = None
    if DutyKind.USAGE in duty_parts.kinds:
        usage = UsageDuty(duty_parts.windows, claims.records, duty_parts.gathering)
    servers = None
    if DutyKind.SERVERS in duty_parts.kinds:
        policy = SERVER_POLICIES.get(settings.server_policy)
        servers = ServerPlanner(
            ServerDuty(policy, claims.records), parts.configuration, parts.roster, plan
        )
    address = ServerAddress(*settings.duty_address)
    return DutyWorker(
        settings.instance,
        topic,
        DutyPlatformClient(environment.store, address, environment.adapter),
        claims,
        usage,
        servers,
        duty_parts.candidates,
        duty_parts.time,
        environment.clock,
        DutyTelemetry(parts.telemetry),
        parts.telemetry.calls.counter_for('duties'),
    )
