"""Profiles of the two production systems, and a small one for fault tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.registry import Registry
from savorychute.testing.call import CallClass
from savorychute.testing.engine_settings import EngineSettings
from savorychute.testing.network import NetworkSettings
from savorychute.testing.plain_service import ServiceSettings
from savorychute.testing.tokens import hash_organisation_token
from savorychute.testing.topology import (
    EngineSpec,
    OrganisationShare,
    ServiceSpec,
    Topology,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.contracts.class_document import ClassDocument
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument

PROFILES: Registry[Callable[[], Topology]] = Registry('system profile')

ENGINE_PORT = 7_000
SERVICE_PORT = 7_500
RATE_HEADROOM = 3.0
ALLOCATED_SHARE = 0.96
SMALL_SETTLE_MS = 1_500.0


class Sizes(NamedTuple):
    """The parameters in which the systems differ."""

    name: str
    region: str
    domains: tuple[str, ...]
    instances: int
    engines: int
    services: int
    service_name: str
    domain_ms: float
    client_ms: float
    step_ms: float
    requests_per_s: float
    organisation_weights: tuple[float, ...]


def build_topology(sizes: Sizes, classes: tuple[CallClass, ...]) -> Topology:
    """Return a system whose endpoints and instances are distributed over domains."""
    total = sum(sizes.organisation_weights)
    organisations = tuple(
        OrganisationShare(f'{sizes.name}-{number:02d}', weight / total)
        for number, weight in enumerate(sizes.organisation_weights, 1)
    )
    return Topology(
        name=sizes.name,
        region=sizes.region,
        instance_domains=tuple(_distribute(sizes.domains, sizes.instances)),
        engines=tuple(_build_engines(sizes)),
        services=tuple(_build_services(sizes)),
        organisations=organisations,
        classes=classes,
        contracts=tuple(
            _build_contract(sizes, organisation, classes)
            for organisation in organisations
        ),
        network=NetworkSettings(
            local_ms=0.1, domain_ms=sizes.domain_ms, client_ms=sizes.client_ms
        ),
    )


def _distribute(domains: tuple[str, ...], count: int) -> list[str]:
    return [domains[number % len(domains)] for number in range(count)]


def _build_engines(sizes: Sizes) -> list[EngineSpec]:
    specs = []
    for number, domain in enumerate(_distribute(sizes.domains, sizes.engines), 1):
        name = f'engine-{number}'
        settings = EngineSettings(name=name, step_ms=sizes.step_ms)
        document: EndpointDocument = {
            'endpoint': name,
            'dialect': 'openai-engine',
            'host': '10.0.1.1',
            'port': ENGINE_PORT + number,
            'region': sizes.region,
            'failure_domain': domain,
            'state': 'active',
            'concurrent_requests': settings.max_running,
            'models': ['model'],
            'checks_fencing': number % 2 == 0,
        }
        specs.append(EngineSpec(document, settings))
    return specs


def _build_services(sizes: Sizes) -> list[ServiceSpec]:
    specs = []
    for number, domain in enumerate(_distribute(sizes.domains, sizes.services), 1):
        name = f'{sizes.service_name}-{number}'
        settings = ServiceSettings(name=name)
        document: EndpointDocument = {
            'endpoint': name,
            'dialect': 'plain-service',
            'host': '10.0.1.2',
            'port': SERVICE_PORT + number,
            'region': sizes.region,
            'failure_domain': domain,
            'state': 'active',
            'concurrent_requests': settings.max_running,
            'service': sizes.service_name,
        }
        specs.append(ServiceSpec(document, settings))
    return specs


def _build_contract(
    sizes: Sizes, organisation: OrganisationShare, classes: tuple[CallClass, ...]
) -> ContractDocument:
    """Return a contract that permits ``RATE_HEADROOM`` times the usual rate.

    In these simulations the pool is the limiting resource, not the contract.
    """
    rate = sizes.requests_per_s * organisation.share * RATE_HEADROOM
    return {
        'organisation': organisation.name,
        'token_hashes': [hash_organisation_token(organisation.name)],
        'pool_share': round(organisation.share * ALLOCATED_SHARE, 6),
        'requests_per_s': round(rate, 3) + 5.0,
        'concurrent_requests': int(rate * 10) + 50,
        'tokens_per_s': round(rate * 600) + 10_000.0,
        'models': ['model'],
        'services': [sizes.service_name],
        'classes': [build_class(each) for each in classes],
    }


def build_class(call_class: CallClass) -> ClassDocument:
    """Return a class in the form of a contract document.

    :param call_class: the class as callers see it.
    """
    return {
        'name': call_class.name,
        'tier': call_class.tier,
        'first_token_target_ms': call_class.first_token_target_ms,
        'token_gap_target_ms': call_class.token_gap_target_ms,
        'timeout_ms': call_class.timeout_ms,
        'weight': call_class.weight,
        'idempotent': call_class.idempotent,
        'patient': call_class.patient,
        'minimum_share': call_class.minimum_share,
    }


MALANADU_CLASSES = (
    CallClass('diagnosis', 0, 400, 50, 20_000, 5.0, demand=0.25, output_tokens=90),
    CallClass(
        'visit-log',
        1,
        500,
        50,
        10_000,
        3.0,
        idempotent=False,
        demand=0.12,
        service='desk',
        stream=False,
    ),
    CallClass(
        'parts-issue',
        1,
        500,
        50,
        10_000,
        3.0,
        idempotent=False,
        demand=0.08,
        service='desk',
        stream=False,
    ),
    CallClass(
        'history-summary',
        2,
        1_500,
        60,
        30_000,
        2.0,
        demand=0.35,
        prompt_tokens=400,
        output_tokens=110,
    ),
    CallClass(
        'warranty-draft',
        3,
        4_000,
        80,
        60_000,
        1.0,
        demand=0.20,
        output_tokens=160,
        minimum_share=0.05,
    ),
)

HOOGHLY_CLASSES = (
    CallClass('warehouse-scan', 0, 300, 50, 10_000, 3.0, demand=0.30, output_tokens=30),
    CallClass('field-reply', 1, 600, 50, 20_000, 3.0, demand=0.20, output_tokens=90),
    CallClass(
        'renewal-booking',
        1,
        600,
        50,
        10_000,
        4.0,
        idempotent=False,
        demand=0.10,
        service='register',
        stream=False,
    ),
    CallClass(
        'licence-clause',
        2,
        2_000,
        60,
        30_000,
        4.0,
        idempotent=False,
        demand=0.15,
        prompt_tokens=400,
        output_tokens=100,
    ),
    CallClass(
        'audit-summary',
        4,
        60_000,
        100,
        180_000,
        1.0,
        patient=True,
        demand=0.25,
        prompt_tokens=500,
        output_tokens=200,
        minimum_share=0.05,
    ),
)

ORGANISATION_WEIGHTS = (24.0, 18.0, 12.0, 4.0, 3.0, 3.0, 2.0, 2.0, 1.0, 1.0)


@PROFILES.register('malanadu')
def build_malanadu() -> Topology:
    """Return the system of the pump service consortium."""
    sizes = Sizes(
        name='malanadu',
        region='kerala',
        domains=('kochi-hall', 'thrissur-hall', 'kozhikode-hall'),
        instances=8,
        engines=9,
        services=3,
        service_name='desk',
        domain_ms=0.5,
        client_ms=1.0,
        step_ms=5.0,
        requests_per_s=160.0,
        organisation_weights=ORGANISATION_WEIGHTS,
    )
    return build_topology(sizes, MALANADU_CLASSES)


@PROFILES.register('hooghly')
def build_hooghly() -> Topology:
    """Return the system of the ledger firm."""
    sizes = Sizes(
        name='hooghly',
        region='east-bengal',
        domains=('salt-lake', 'howrah', 'durgapur', 'kalyani'),
        instances=7,
        engines=6,
        services=4,
        service_name='register',
        domain_ms=1.5,
        client_ms=3.0,
        step_ms=3.0,
        requests_per_s=140.0,
        organisation_weights=ORGANISATION_WEIGHTS,
    )
    return build_topology(sizes, HOOGHLY_CLASSES)


SMALL_CLASSES = (
    CallClass('urgent', 0, 500, 50, 8_000, 3.0, output_tokens=24, spread=0.2),
    CallClass(
        'booking',
        1,
        500,
        50,
        20_000,
        3.0,
        idempotent=False,
        service='desk',
        stream=False,
    ),
    CallClass(
        'clause',
        1,
        1_000,
        50,
        20_000,
        3.0,
        idempotent=False,
        output_tokens=40,
        spread=0.2,
    ),
    CallClass('draft', 2, 2_000, 60, 10_000, 1.0, output_tokens=60, spread=0.2),
    CallClass(
        'audit',
        4,
        10_000,
        100,
        20_000,
        1.0,
        patient=True,
        output_tokens=80,
        spread=0.2,
        minimum_share=0.05,
    ),
)


@PROFILES.register('small')
def build_small() -> Topology:
    """Return the smallest system in which every fault can happen."""
    sizes = Sizes(
        name='small',
        region='test-region',
        domains=('east', 'west'),
        instances=3,
        engines=3,
        services=2,
        service_name='desk',
        domain_ms=0.5,
        client_ms=1.0,
        step_ms=5.0,
        requests_per_s=20.0,
        organisation_weights=(2.0, 1.0),
    )
    return build_topology(sizes, SMALL_CLASSES)._replace(settle_ms=SMALL_SETTLE_MS)
