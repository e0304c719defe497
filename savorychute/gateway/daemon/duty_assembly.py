"""Puts together what an instance needs for duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S
from savorychute.gateway.daemon.duty_worker import DutyWorker, PlatformLine
from savorychute.gateway.daemon.server_work import ServerWork
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
    from savorychute.gateway.daemon.surroundings import Surroundings
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.read_plan import ReadPlan
    from savorychute.gateway.store.store_era import StoreEra


class DutySide(NamedTuple):
    """What counts usage and tells it; ``spread`` is None where no duty is wanted."""

    kinds: frozenset[DutyKind]
    windows: UsageWindows
    time: TrueTime
    ledger: UsageCounter
    gathering: UsageAggregator
    candidates: DutyCandidates
    spread: UsageBroadcaster | None


def make_duty_side(around: Surroundings) -> DutySide:
    """Return the parts that take part in requests and in the talk with other instances.

    :param around: what the gateway is given.
    """
    settings = around.settings
    kinds: frozenset[DutyKind] = frozenset()
    if settings.duty_address is not None:
        kinds = around.adapter.decode_duties(settings.duties)
    windows = UsageWindows(
        int(MS_PER_S * settings.usage_window_s), int(MS_PER_S * settings.usage_due_s)
    )
    time = TrueTime(around.clock, around.wall)
    ledger = UsageCounter(windows if DutyKind.USAGE in kinds else None, time)
    gathering = UsageAggregator()
    candidates = DutyCandidates()
    spread = UsageBroadcaster(candidates, ledger, gathering) if kinds else None
    return DutySide(kinds, windows, time, ledger, gathering, candidates, spread)


def make_duty_worker(
    around: Surroundings,
    side: DutySide,
    topic: KeyedTopic,
    eras: StoreEra,
    parts: GatewayParts,
    plan: ReadPlan,
) -> DutyWorker | None:
    """Return what carries out the duties, None where none is wanted.

    :param around: what the gateway is given.
    :param side: the parts that count usage.
    :param topic: where duties are claimed.
    :param eras: the newest era of the store.
    :param parts: what requests share.
    :param plan: how old what is known of endpoints is.
    """
    settings = around.settings
    if side.spread is None or settings.duty_address is None:
        return None
    claims = DutyClaims(settings.instance, DUTY_LEASE, around.rng, eras)
    usage = None
    if DutyKind.USAGE in side.kinds:
        usage = UsageDuty(side.windows, claims.records, side.gathering)
    servers = None
    if DutyKind.SERVERS in side.kinds:
        policy = SERVER_POLICIES.get(settings.server_policy)
        servers = ServerWork(
            ServerDuty(policy, claims.records), parts.configuration, parts.roster, plan
        )
    address = ServerAddress(*settings.duty_address)
    return DutyWorker(
        settings.instance,
        topic,
        PlatformLine(around.store, address, around.adapter),
        claims,
        usage,
        servers,
        side.candidates,
        side.time,
        around.clock,
        DutyTelemetry(parts.telemetry),
        parts.telemetry.calls.counter_for('duties'),
    )
