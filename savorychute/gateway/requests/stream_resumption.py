"""Finds what began a stream that its caller takes up, before it is sent anywhere."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.requests.refusal import Refusal
from savorychute.gateway.streams.stream_origin import make_stream_key
from savorychute.ran import Ran
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.streams.origin_finder import Finding
    from savorychute.gateway.streams.stream_origin import StreamOrigin

# An instance that did not respond in time may know the origin a moment later.
UNKNOWN_RETRY_MS = 300
# An endpoint of the version may be listed again after an outage of the store.
GONE_RETRY_MS = 1_000


def is_resumption(request: InboundRequest, admitted: AdmittedRequest) -> bool:
    """Return whether a caller takes up a stream of which it has some events.

    :param request: the request.
    :param admitted: its route.
    """
    return bool(request.last_event) and admitted.route.kind is RequestKind.STREAM


class StreamResumption:
    """Admits a stream to the service that began it, or refuses it.

    The refusal is early and true: nothing has been sent.

    :param parts: state and ports shared by all requests.
    :param request: the request.
    :param admitted: its route and organisation.
    :param on_admitted: called with the request, admitted to the service of the origin.
    :param on_refused: called instead with the refusal.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: InboundRequest,
        admitted: AdmittedRequest,
        on_admitted: Callable[[AdmittedRequest, StreamOrigin], None],
        on_refused: Callable[[Refusal], None],
    ) -> None:
        self._parts = parts
        self._request = request
        self._admitted = admitted
        self._on_admitted = on_admitted
        self._on_refused = on_refused
        self._started_ms = parts.clock.now_ms()
        self.ended = False

    def start(self) -> None:
        """Find the origin; one of the callbacks follows, at once or later."""
        key = b''
        if self._request.resumed_attempt:
            key = make_stream_key(
                self._admitted.organisation, self._request.resumed_attempt
            )
        self._parts.origins.find(key, self._only_service(), self._handle_finding)

    def _only_service(self) -> str:
        """Return the service that serves all requests of the route, or empty."""
        shares = self._admitted.route.shares
        return shares[0].service if len(shares) == 1 else ''

    def caller_left(self) -> None:
        """Ignore what is found: the caller has disconnected."""
        self.ended = True

    def _handle_finding(self, finding: Finding) -> None:
        if self.ended:
            return
        self.ended = True
        refusal = self._refuse(finding)
        outcome = refusal.reason if refusal is not None else 'admitted'
        waited_ms = self._parts.clock.now_ms() - self._started_ms
        self._parts.stream_telemetry.stream_resumed(
            self._request, finding, outcome, waited_ms
        )
        if refusal is not None:
            self._on_refused(refusal)
            return
        origin = finding.origin
        table = self._parts.configuration.table
        assert origin is not None
        assert table is not None
        service = table.services[origin.service]
        self._on_admitted(self._admitted._replace(service=service), origin)

    def _refuse(self, finding: Finding) -> Refusal | None:
        """Return the refusal of a stream that cannot go on, or None."""
        origin = finding.origin
        if origin is None:
            return Refusal(
                ResultCode.STREAM_ORIGIN_UNKNOWN,
                Ran.NOT_RUN,
                finding.source,
                UNKNOWN_RETRY_MS,
            )
        if not self._serves(origin.service):
            return _refuse_as_gone('service-gone')
        records = self._parts.roster.usable(origin.service)
        if records and not any(
            record.entry.software_version == origin.version for record in records
        ):
            return _refuse_as_gone('version-gone')
        return None

    def _serves(self, service: str) -> bool:
        """Return whether the route still allows the service that began the stream."""
        table = self._parts.configuration.table
        if table is None or service not in table.services:
            return False
        shares = self._admitted.route.shares
        return any(each.service == service and each.weight > 0 for each in shares)


def _refuse_as_gone(reason: str) -> Refusal:
    code = ResultCode.STREAM_VERSION_GONE
    return Refusal(code, Ran.NOT_RUN, reason, GONE_RETRY_MS)
