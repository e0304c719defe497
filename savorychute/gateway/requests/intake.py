"""Admission of requests by the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.gateway.requests.admitted_request import AdmittedRequest
from savorychute.gateway.requests.rank import rank_request
from savorychute.gateway.requests.refusal import Refusal
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random

    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.configuration.organisation import Organisation
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.configuration.route_table import RouteTable
    from savorychute.gateway.configuration.service import Service
    from savorychute.gateway.recovery.crash_table import CrashTable
    from savorychute.gateway.requests.inbound_request import InboundRequest

# A caller refused by an instance with a stale configuration can try another instance
# at once.
OTHER_INSTANCE_RETRY_MS = 100
# A request that crashes endpoints will not succeed soon.
SUSPECT_RETRY_MS = 5_000


class Intake:
    """Finds the route, owner and service of a request, or the reason to refuse it.

    :param configuration: the configuration in force.
    :param crashes: the observed crashes, by request.
    :param rng: selects one of a route's services by weight.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        crashes: CrashTable,
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
        fingerprint = compute_fingerprint(request, owner.name if owner else '')
        if self._crashes.is_suspect(fingerprint, now_ms):
            return Refusal(
                ResultCode.CRASH_SUSPECT,
                Ran.NOT_RUN,
                'crashed-endpoints',
                SUSPECT_RETRY_MS,
            )
        service = self._select_service(table, route)
        if service is None:
            return _refuse(ResultCode.NO_ENDPOINT, 'no-service')
        return AdmittedRequest(
            route,
            service,
            owner.name if owner else '',
            rank_request(owner.tier if owner is not None else None, route.tier),
            fingerprint,
            now_ms + min(route.timeout_ms, request.deadline_ms or route.timeout_ms),
            table.version,
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
