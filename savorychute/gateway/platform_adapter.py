"""The interface of a platform's adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.discovery.discovery_query import DiscoveryQuery
    from savorychute.gateway.duties.duty_kind import DutyKind
    from savorychute.gateway.duties.duty_order import DutyOrder, DutyOutcome
    from savorychute.gateway.duties.server_duty import ServerOrder
    from savorychute.gateway.duties.usage_report import UsageReport
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.moves.move_call import CopyOrder, CopyResult
    from savorychute.gateway.requests.endpoint_response import EndpointResponse
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
    from savorychute.gateway.requests.refusal import Refusal
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.record_log import RecordLog
    from savorychute.gateway.store.store_access import StoreAccess
    from savorychute.http.http_request import HttpRequest
    from savorychute.http.http_response import HttpResponse
    from savorychute.member_address import MemberAddress


class PlatformAdapter(Protocol):
    """Translates between the platform's protocol and the gateway's types.

    It makes no decisions and has no state.  For input that it cannot read it raises
    :class:`~savorychute.gateway.translation_error.TranslationError`.
    """

    def configuration_topic(self, access: StoreAccess) -> KeyedTopic:
        """Return the topic in which operators publish the configuration."""
        ...

    def endpoint_topic(self, access: StoreAccess) -> KeyedTopic:
        """Return the topic in which endpoints register."""
        ...

    def instance_topic(self, access: StoreAccess) -> KeyedTopic:
        """Return the topic in which instances of the gateway register."""
        ...

    def duty_topic(self, access: StoreAccess) -> KeyedTopic:
        """Return the topic in which instances claim duties and settle reports."""
        ...

    def version_topic(self, access: StoreAccess) -> KeyedTopic:
        """Return the topic in which instances mark versions that begin streams."""
        ...

    def verdict_topic(self, access: StoreAccess) -> KeyedTopic:
        """Return the topic of verdicts on requests that crash endpoints."""
        ...

    def stream_log(self, access: StoreAccess, region: str) -> RecordLog:
        """Return the log in which the instances of a region record streams."""
        ...

    def decode_duties(self, names: Sequence[str]) -> frozenset[DutyKind]:
        """Return the known duties among names that the platform uses."""
        ...

    def encode_usage(self, report: UsageReport, duty_order: DutyOrder) -> HttpRequest:
        """Return the request that reports a window's usage."""
        ...

    def encode_servers(
        self, server_order: ServerOrder, duty_order: DutyOrder
    ) -> HttpRequest:
        """Return the request that orders endpoints."""
        ...

    def decode_duty_response(self, status: int) -> DutyOutcome:
        """Return the outcome that the status of a response to such a request means."""
        ...

    def decode_configuration(self, key: str, value: bytes) -> Deployment | None:
        """Return the configuration in a record, or None for other records."""
        ...

    def decode_endpoint(self, key: str, value: bytes) -> EndpointEntry:
        """Return an endpoint's entry."""
        ...

    def decode_request(self, request: HttpRequest) -> InboundRequest:
        """Return a caller's request."""
        ...

    def encode_refusal(
        self, refusal: Refusal, request: HttpRequest | None
    ) -> HttpResponse:
        """Return the response for a refusal of the gateway."""
        ...

    def encode_attempt(self, attempt: OutboundAttempt) -> HttpRequest:
        """Return the request for an endpoint."""
        ...

    def decode_response(
        self, status: int, headers: dict[str, str], attempt: OutboundAttempt
    ) -> EndpointResponse:
        """Return the meaning of the head of an endpoint's response."""
        ...

    def names_request(self, headers: dict[str, str]) -> bool:
        """Return whether a response names the caller's request that it belongs to."""
        ...

    def decode_statement(
        self, status: int, headers: dict[str, str]
    ) -> EndpointStatement:
        """Return what an endpoint states about itself in the head of a response."""
        ...

    def encode_probe(self) -> HttpRequest:
        """Return the request for an engine's load report."""
        ...

    def decode_report(self, response: HttpResponse) -> EngineLoad | None:
        """Return the load in a response to it, or None if there is none."""
        ...

    def encode_copy(self, order: CopyOrder) -> HttpRequest:
        """Return the request that copies the memory of a run to another engine."""
        ...

    def decode_copy(self, response: HttpResponse) -> CopyResult:
        """Return the outcome that a response to it states."""
        ...

    def encode_release(self, handle: str) -> HttpRequest:
        """Return the request that frees a copy at both engines."""
        ...

    def decode_discovery(self, request: HttpRequest) -> DiscoveryQuery | None:
        """Return a caller's query for addresses, or None for other requests."""
        ...

    def encode_discovery(
        self, members: Sequence[MemberAddress], lifetime_ms: int
    ) -> HttpResponse:
        """Return the response with addresses of instances."""
        ...

    def is_readiness(self, request: HttpRequest) -> bool:
        """Return whether a request asks for this instance's readiness."""
        ...


PLATFORMS: Registry[type[PlatformAdapter]] = Registry('platform')
