"""Admission of requests by the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.crashes.crash_decision import CrashDecisionKind
from savorychute.crashes.request_traits import make_traits
from savorychute.gateway.requests.admitted_request import AdmittedRequest
from savorychute.gateway.requests.rank import rank_request
from savorychute.gateway.requests.refusal import Refusal
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random

    from savorychute.crashes.crash_decision import CrashDecision
    from savorychute.crashes.request_traits import RequestTraits
    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.configuration.organisation import Organisation
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.configuration.route_table import RouteTable
    from savorychute.gateway.configuration.service import Service
    from savorychute.gateway.recovery.crash_guard import CrashGuard
    from savorychute.gateway.requests.inbound_request import InboundRequest

# A caller refused by an instance with a stale configuration can try another instance
# at once.
OTHER_INSTANCE_RETRY_MS = 100
# A request that crashes endpoints will not succeed soon.
SUSPECT_RETRY_MS = 5_000
CRASHED_ENDPOINTS = 'crashed-endpoints'


class Intake:
    """Finds the route, owner and service of a request, or the reason to refuse it.

    :param configuration: the configuration in force.
    :param crashes: which requests crash endpoints.
    :param rng: selects one of a route's services by weight.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        crashes: CrashGuard,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._crashes = crashes
        self._rng = rng

    def admit(self, request: InboundRequest, now_ms: int) -> AdmittedRequest | Refusal:
        """Return the admitted request, or the refusal.

        :param request: the request.
        :param now_ms: the current time.
        """
        table = self._configuration.table
        if table is None:
            return _refuse(ResultCode.NOT_READY, 'no-configuration')
        route = table.find_route(request.host, request.path)
        if route is None:
            return self._refuse_unknown(ResultCode.NOT_FOUND, 'no-route', now_ms)
        owner: Organisation | None = None
        if table.needs_keys and not route.public:
            owner = table.find_owner(request.key)
            if owner is None:
                code = ResultCode.UNAUTHENTICATED
                return self._refuse_unknown(code, 'unknown-key', now_ms)
            if not self._configuration.trusts_keys(now_ms):
                # The key may have been revoked while the store was unreachable.
                return _refuse(ResultCode.NOT_READY, 'key-unconfirmed')
        service = self._select_service(table, route)
        if service is None:
            return _refuse(ResultCode.NO_ENDPOINT, 'no-service')
        if not self._crashes.is_informed(now_ms):
            return _refuse(ResultCode.NOT_READY, 'verdicts-unread')
        organisation = owner.name if owner else ''
        traits = find_traits(request, organisation)
        decision = self._crashes.decide(service.name, traits, now_ms, may_try=True)
        if decision.kind is CrashDecisionKind.REFUSED:
            return refuse_for_crashes(decision, now_ms)
        return AdmittedRequest(
            route,
            service,
            organisation,
            rank_request(owner.tier if owner is not None else None, route.tier),
            traits,
            now_ms + min(route.timeout_ms, request.deadline_ms or route.timeout_ms),
            table.version,
            is_trial=decision.kind is CrashDecisionKind.TRIAL,
        )

    def _refuse_unknown(self, code: ResultCode, reason: str, now_ms: int) -> Refusal:
        """Refuse an unknown route or key, permanently only if the table is up to date."""
        if self._configuration.is_fresh(now_ms):
            return Refusal(code, Ran.NOT_RUN, reason)
        return _refuse(ResultCode.NOT_READY, f'{reason}-unconfirmed')

    def _select_service(self, table: RouteTable, route: Route) -> Service | None:
        names = [share.service for share in route.shares if share.weight > 0]
        if not names:
            return None
        weights = [share.weight for share in route.shares if share.weight > 0]
        return table.services.get(self._rng.choices(names, weights)[0])


def find_traits(request: InboundRequest, organisation: str) -> RequestTraits:
    """Return what a request may have in common with others that crash endpoints.

    The last part of a prompt belongs to the request or its session.

    :param request: the request.
    :param organisation: the organisation of the caller.
    """
    parts = request.prompt.parts[:-1] if request.prompt is not None else ()
    fingerprint = compute_fingerprint(request, organisation)
    return make_traits(fingerprint, (each.part for each in parts))


def refuse_for_crashes(decision: CrashDecision, now_ms: int) -> Refusal:
    """Return the refusal of a request that crashes endpoints.

    :param decision: the decision to refuse it.
    :param now_ms: the current time.
    """
    verdict = decision.verdict
    assert verdict is not None
    return Refusal(
        ResultCode.CRASH_SUSPECT,
        Ran.NOT_RUN,
        CRASHED_ENDPOINTS,
        max(SUSPECT_RETRY_MS, verdict.due_ms - now_ms),
        verdict.key.traits,
    )


def compute_fingerprint(request: InboundRequest, organisation: str) -> str:
    """Return a hash that is the same for all retries of a request.

    :param request: the request.
    :param organisation: the organisation of the caller.
    """
    digest = xxhash.xxh3_64()
    for text in (organisation, request.host, request.raw.method, request.raw.target):
        digest.update(text.encode())
        digest.update(b'\0')
    digest.update(request.raw.body)
    return digest.hexdigest()


def _refuse(code: ResultCode, reason: str) -> Refusal:
    return Refusal(code, Ran.NOT_RUN, reason, OTHER_INSTANCE_RETRY_MS)
