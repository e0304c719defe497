"""How an endpoint is chosen for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.lane_demand import LaneDemand
    from savorychute.gateway.dispatch.need import Need
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.permits.permit import Permit


class Choice(NamedTuple):
    """The endpoint, and how many tokens it is expected to read anew.

    ``wait_ms`` is how long the request is expected to wait before its prompt is read;
    the reading itself does not count, or the largest prompts would be refused first.
    ``load_known`` is whether the endpoint's load was reported lately, ``idle`` whether it
    said that nothing waits there.  A stream that is ``steady`` would be late beside long
    prompts; one that is ``apart`` runs away from them.
    ``rank`` is the request's; an engine serves what is more urgent first.
    For a request that leaves its home, ``compared`` are the engines that were asked.
    ``permit`` is for an endpoint that states a limit.
    """

    record: EndpointRecord
    fresh_tokens: int
    cost_ms: float
    wait_ms: float = 0.0
    load_known: bool = False
    idle: bool = False
    steady: bool = False
    apart: bool = False
    rank: int = 0
    compared: tuple[Choice, ...] = ()
    permit: Permit | None = None


class Chooser(Protocol):
    """One way to choose."""

    def wants_reports(
        self, records: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> list[EndpointRecord]:
        """Return the endpoints whose load should be asked for before the choice.

        :param records: the candidates, at least one.
        :param need: of the request.
        :param now_ms: the time.
        """
        ...

    def choose(
        self, records: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> Choice:
        """Return the best of some endpoints.

        :param records: the candidates, at least one.
        :param need: of the request.
        :param now_ms: the time.
        """
        ...


class ChooserFactory(Protocol):
    """Makes a chooser."""

    def __call__(
        self,
        failure_domain: str,
        rng: random.Random,
        demand: LaneDemand | None = None,
        models: EngineModels | None = None,
    ) -> Chooser:
        """Return a chooser for an instance in a failure domain."""
        ...


CHOOSERS: Registry[ChooserFactory] = Registry('chooser')


def open_records(
    records: Sequence[EndpointRecord], tried: frozenset[EndpointRun], now_ms: int
) -> list[EndpointRecord]:
    """Return the endpoints to choose from.

    Those that did not answer lately are left out, unless no other is left: a block is
    a guess, and a guess must not refuse a request that an endpoint could run.

    :param records: the endpoints of a service.
    :param tried: those that the request has been sent to.
    :param now_ms: the time.
    """
    untried = [each for each in records if each.entry.run not in tried]
    healthy = [each for each in untried if not each.health.is_blocked(now_ms)]
    return healthy or untried
