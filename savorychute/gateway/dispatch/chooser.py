"""Interface and registry of the policies that choose an endpoint for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from savorychute.gateway.dispatch.urgent_usage import UrgentUsage
from savorychute.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.partition_demand import PartitionDemand
    from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.permits.permit import Permit

# Reasons of a choice, for logs: the usual rules of even engines; the first home of a long
# shared prompt; a further home of it; an engine that meets the objective where the home
# would not; an engine with less load than a home that has more than its share; and a
# request that shows whether a slow engine is still slow.
USUAL = 'usual'
HOME = 'home'
SECOND_HOME = 'second-home'
IN_TIME = 'in-time'
BOUNDED = 'home-overloaded'
TRIAL = 'speed-trial'


class Choice(NamedTuple):
    """A chosen endpoint, and the number of tokens it is expected to prefill.

    ``wait_ms`` is the expected wait before the prefill of the request starts; the
    prefill itself is excluded, otherwise the largest prompts would be refused first.
    ``load_known`` is true if the endpoint reported its load recently, ``idle`` if that
    report showed an empty queue.  A ``latency_sensitive`` stream would miss its gap
    target beside long prompts; an ``isolated`` one was placed away from long prompts.
    ``rank`` is the rank of the request; engines serve more urgent requests first.
    ``compared`` holds the engines with a recent report that were considered for a
    request that leaves its home.  ``urgent_usage`` tells how many of the service's slots
    higher tiers use; it is set for requests of the last tier.  ``permit`` is set for an
    endpoint that states a limit.  ``speed`` is the engine's present speed relative to its
    service, and ``reason`` says by which rule it was chosen, for logs.
    """

    record: EndpointRecord
    fresh_tokens: int
    cost_ms: float
    wait_ms: float = 0.0
    load_known: bool = False
    idle: bool = False
    latency_sensitive: bool = False
    isolated: bool = False
    rank: int = 0
    compared: tuple[Choice, ...] = ()
    urgent_usage: UrgentUsage = UrgentUsage()
    permit: Permit | None = None
    speed: float = 1.0
    reason: str = USUAL


class Chooser(Protocol):
    """A policy that chooses an endpoint for a request."""

    def endpoints_to_query(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> list[EndpointRecord]:
        """Return the endpoints whose load should be queried before the choice.

        :param records: the candidates, at least one.
        :param requirements: requirements of the request.
        :param now_ms: the current time.
        """
        ...

    def choose(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice:
        """Return the best of some endpoints.

        :param records: the candidates, at least one.
        :param requirements: requirements of the request.
        :param now_ms: the current time.
        """
        ...


class ChooserFactory(Protocol):
    """Creates a chooser."""

    def __call__(
        self,
        failure_domain: str,
        rng: random.Random,
        demand: PartitionDemand | None = None,
        models: EngineModels | None = None,
        speeds: PlacementSpeeds | None = None,
    ) -> Chooser:
        """Return a chooser for an instance in a failure domain."""
        ...


CHOOSERS: Registry[ChooserFactory] = Registry('chooser')


def available_records(
    records: Sequence[EndpointRecord], attempted: frozenset[EndpointRun], now_ms: int
) -> list[EndpointRecord]:
    """Return the endpoints to choose from.

    Endpoints that recently failed to respond are excluded, unless no others are left: a
    block is only an estimate and must not refuse a request that an endpoint could run.

    :param records: the endpoints of a service.
    :param attempted: endpoint runs that the request was sent to before.
    :param now_ms: the current time.
    """
    unattempted = [each for each in records if each.entry.run not in attempted]
    healthy = [each for each in unattempted if not each.health.is_blocked(now_ms)]
    return healthy or unattempted
