"""At which endpoints the stream of one request may begin and go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.streams.stream_origin import StreamOrigin, make_stream_key

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.streams.stream_origins import StreamOrigins

# A caller may take a stream up for as long as the stream may last, and its further try
# may last as long again.
LIFETIME_FACTOR = 2


class StreamContinuity:
    """Lets a stream go on only at the service and version that began it.

    What two software versions generate does not fit together, and endpoints do not check
    at which version a stream began.

    :param origins: the origins of all streams.
    :param roster: the listed endpoints.
    :param request: the request.
    :param admitted: its route and organisation.
    :param origin: what began the stream that the caller takes up; None for a new one.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        roster: EndpointRoster,
        request: InboundRequest,
        admitted: AdmittedRequest,
        origin: StreamOrigin | None = None,
    ) -> None:
        route = admitted.route
        self._origins = origins
        self._roster = roster
        self._service = admitted.service.name
        self._is_resumable = route.kind is RequestKind.STREAM and route.resumable
        self._lifetime_ms = LIFETIME_FACTOR * route.timeout_ms
        # A caller names the attempt that brought the first event, also in further tries.
        attempt_id = request.resumed_attempt if origin else request.attempt_id
        self._key = make_stream_key(admitted.organisation, attempt_id)
        self._is_named = bool(attempt_id)
        self._origin = origin
        # Whether the caller has received an event, over all its tries.
        self._has_begun = origin is not None

    @property
    def may_go_on(self) -> bool:
        """Whether another endpoint may generate the rest, if there is one."""
        return not self._has_begun or (self._is_resumable and self._origin is not None)

    def begin(self, entry: EndpointEntry) -> None:
        """Record which endpoint generates, before its first event leaves.

        :param entry: entry of the endpoint.
        """
        if self._origin is None and entry.software_version is not None:
            self._origin = StreamOrigin(entry.service, entry.software_version)
        self._has_begun = True
        if self._is_resumable and self._is_named and self._origin is not None:
            self._origins.begin(self._key, self._origin, self._lifetime_ms)

    def complete(self) -> None:
        """Record that the caller has the whole stream."""
        if self._has_begun and self._is_resumable:
            self._origins.complete(self._key)

    def select(self, records: Sequence[EndpointRecord]) -> Sequence[EndpointRecord]:
        """Return the endpoints that may generate the stream, or its rest.

        :param records: endpoints of the request's service.
        """
        if not self._has_begun:
            if not self._is_resumable:
                return records
            return self._origins.select_to_begin(
                records, self._service, self._roster.versions(self._service)
            )
        origin = self._origin
        if origin is None:
            return []
        return [
            record
            for record in records
            if record.entry.service == origin.service
            and record.entry.software_version == origin.version
        ]
