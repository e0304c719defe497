"""The components of a simulated system."""

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
    """An engine: the document that operators enter, and its settings."""

    document: EndpointDocument
    settings: EngineSettings


class ServiceSpec(NamedTuple):
    """A plain service: the document that operators enter, and its settings."""

    document: EndpointDocument
    settings: ServiceSettings


class OrganisationShare(NamedTuple):
    """The share of an organisation in the demand."""

    name: str
    share: float


class Topology(NamedTuple):
    """Instances, endpoints, organisations and the network between them.

    ``instance_domains`` contains the failure domain of each instance.
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
