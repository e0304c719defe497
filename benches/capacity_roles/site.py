"""Creates the instances, endpoints and contracts of a system of a given size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benches.capacity_roles.member_mesh import DOMAINS_PER_REGION, make_address
from benches.capacity_roles.target import (
    TARGET_MODELS,
    TARGET_ORGANISATIONS,
    TARGET_REQUESTS_PER_S,
    TARGET_TIERS,
    Target,
)
from savorychute.contracts.class_document import ClassDocument
from savorychute.contracts.contract_document import ContractDocument
from savorychute.membership import MemberView

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.member_address import MemberAddress

CONCURRENT_REQUESTS = 80
SERVICE_ENDPOINT_PERIOD = 50


def make_members(instances: int) -> tuple[MemberAddress, ...]:
    """Return the addresses of all instances, sorted.

    :param instances: the number of instances.
    """
    regions = Target(instances).regions
    return tuple(sorted(make_address(n, regions) for n in range(instances)))


def make_view(own: MemberAddress, alive: tuple[MemberAddress, ...]) -> MemberView:
    """Return the member view of one instance.

    :param own: its address.
    :param alive: all members.
    """
    by_instance = {address.instance: address for address in alive}
    return MemberView(own, alive, by_instance=by_instance)


def make_endpoints(instances: int) -> dict[str, EndpointDocument]:
    """Return the endpoints in proportion to the instances.

    :param instances: the number of instances.
    """
    target = Target(instances)
    return {
        document['endpoint']: document
        for document in (
            make_endpoint(number, target.regions) for number in range(target.endpoints)
        )
    }


def make_endpoint(number: int, regions: int) -> EndpointDocument:
    """Return one endpoint; regions and models are assigned in turn.

    :param number: the number of the endpoint, from 0.
    :param regions: the number of regions.
    """
    region = number % regions
    index = number // regions
    document: EndpointDocument = {
        'endpoint': f'engine-{number:04}',
        'dialect': 'openai',
        'host': f'10.{100 + region}.{index // 250}.{index % 250 + 1}',
        'port': 8000,
        'region': f'region-{region}',
        'failure_domain': f'region-{region}-hall-{index % DOMAINS_PER_REGION}',
        'state': 'active',
        'concurrent_requests': CONCURRENT_REQUESTS,
    }
    if index % SERVICE_ENDPOINT_PERIOD == SERVICE_ENDPOINT_PERIOD - 1:
        document['dialect'] = 'plain'
        document['service'] = 'register'
    else:
        document['models'] = [f'model-{index % TARGET_MODELS}']
    return document


def make_contracts(instances: int) -> dict[str, ContractDocument]:
    """Return the contracts in proportion to the instances.

    :param instances: the number of instances.
    """
    count = Target(instances).organisations
    contracts = (make_contract(number, count) for number in range(count))
    return {contract['organisation']: contract for contract in contracts}


def make_contract(number: int, organisations: int) -> ContractDocument:
    """Return one contract with a class of each tier.

    :param number: the number of the organisation, from 0.
    :param organisations: the number of organisations that share the pool.
    """
    rate_per_s = TARGET_REQUESTS_PER_S / TARGET_ORGANISATIONS
    classes = [
        ClassDocument(
            name=f'class-{tier}',
            tier=tier,
            first_token_target_ms=320 * (tier + 1),
            token_gap_target_ms=52,
            timeout_ms=60_000,
            weight=1.0,
            idempotent=tier % 2 == 0,
        )
        for tier in range(TARGET_TIERS)
    ]
    return ContractDocument(
        organisation=f'organisation-{number:04}',
        token_hashes=[f'{number:064x}'],
        pool_share=1 / (organisations + 1),
        requests_per_s=2 * rate_per_s,
        concurrent_requests=200,
        tokens_per_s=400 * rate_per_s,
        models=[f'model-{model}' for model in range(TARGET_MODELS)],
        classes=classes,
    )
