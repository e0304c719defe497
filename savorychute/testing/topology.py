"""What a virtual run consists of."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.testing.network import NetworkSettings

if TYPE_CHECKING:
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.testing.call import CallClass
    from savorychute.testing.engine_settings import EngineSettings
    from savorychute.testing.plain_service import ServiceSettings


class EngineSpec(NamedTuple):
    """An engine: how operators enter it, and what it can do."""

    document: EndpointDocument
    settings: EngineSettings


class ServiceSpec(NamedTuple):
    """A plain service: how operators enter it, and what it can do."""

    document: EndpointDocument
    settings: ServiceSettings


class OrganisationShare(NamedTuple):
    """An organisation's part of the demand."""

    name: str
    share: float


class Topology(NamedTuple):
    """Instances, endpoints, organisations and the distances between them.

    ``instance_domains`` names a failure domain for each instance.
    """

    name: str
    region: str
    instance_domains: tuple[str, ...]
    engines: tuple[EngineSpec, ...]
    services: tuple[ServiceSpec, ...]
    organisations: tuple[OrganisationShare, ...]
    classes: tuple[CallClass, ...]
    contracts: tuple[ContractDocument, ...]
    network: NetworkSettings = NetworkSettings()
    model: str = 'model'
    max_tokens: int = 512
    listing_lag_ms: float = 1_000.0
    settle_ms: float = 3_000.0
    leave_grace_ms: float = 5_000.0
    starvation_calls: int = 20
