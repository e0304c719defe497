"""The documents that the demonstration's operator submits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.demo.demo_class import SERVICE
from savorychute.instance.directory import hash_token
from savorychute.testing.profiles import build_class

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.demo.demo_class import DemoClass

MODEL = 'model'
REGION = 'demo'
POOL_SHARE = 0.5


def make_token(organisation: str) -> str:
    """Return the bearer token of an organisation's callers."""
    return f'demo-token-of-{organisation}'


def make_contract(organisation: str, classes: Sequence[DemoClass]) -> ContractDocument:
    """Return an organisation's contract.

    :param classes: the classes of both organisations.
    """
    token = make_token(organisation)
    return {
        'organisation': organisation,
        'token_hashes': [hash_token(token)],
        'pool_share': POOL_SHARE,
        'requests_per_s': 200.0,
        'concurrent_requests': 200,
        'tokens_per_s': 100_000.0,
        'models': [MODEL],
        'services': [SERVICE],
        'classes': [
            build_class(each.call_class)
            for each in classes
            if each.organisation == organisation
        ],
    }


def make_engine_document(
    endpoint: str, failure_domain: str, port: int, concurrent_requests: int
) -> EndpointDocument:
    """Return the endpoint document of an engine."""
    return {
        'endpoint': endpoint,
        'dialect': 'openai-engine',
        'host': '127.0.0.1',
        'port': port,
        'region': REGION,
        'failure_domain': failure_domain,
        'state': 'active',
        'concurrent_requests': concurrent_requests,
        'models': [MODEL],
    }


def make_service_document(
    endpoint: str, failure_domain: str, port: int
) -> EndpointDocument:
    """Return the endpoint document of a plain service."""
    return {
        'endpoint': endpoint,
        'dialect': 'plain-service',
        'host': '127.0.0.1',
        'port': port,
        'region': REGION,
        'failure_domain': failure_domain,
        'state': 'active',
        'concurrent_requests': 16,
        'service': SERVICE,
    }
