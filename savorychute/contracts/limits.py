"""Derivation of limits from a contract.

This is the only place where limits are computed from a contract; the table in
``docs/reference/contract-limits.rst`` lists the rules.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.contracts.class_limits import ClassLimits
from savorychute.contracts.organisation_limits import OrganisationLimits

if TYPE_CHECKING:
    from savorychute.contracts.class_document import ClassDocument
    from savorychute.contracts.contract_document import ContractDocument

DEFAULT_RETRY_SHARE = 0.1

#: Prevents starvation of classes that state no minimum.
DEFAULT_MINIMUM_SHARE = 0.02

MIN_SEATS = 3

#: The request rate of one instance at the target size: 15,000 requests per second
#: divided by 530 instances, rounded down.
REQUESTS_PER_S_PER_SEAT = 25

MIN_QUEUE_REQUESTS = 8


def derive_limits(document: ContractDocument) -> OrganisationLimits:
    """Return the limits derived from a contract.

    :param document: the contract, already validated.
    """
    classes = {
        entry['name']: _derive_class(document, entry) for entry in document['classes']
    }
    return OrganisationLimits(
        organisation=document['organisation'],
        pool_share=document['pool_share'],
        requests_per_s=document['requests_per_s'],
        concurrent_requests=document['concurrent_requests'],
        tokens_per_s=document['tokens_per_s'],
        retry_share=document.get('retry_share', DEFAULT_RETRY_SHARE),
        seats=_derive_seats(document['requests_per_s']),
        classes=classes,
    )


def _derive_seats(requests_per_s: float) -> int:
    return max(MIN_SEATS, math.ceil(requests_per_s / REQUESTS_PER_S_PER_SEAT))


def _derive_class(document: ContractDocument, entry: ClassDocument) -> ClassLimits:
    queue_wait_ms = _derive_queue_wait_ms(entry)
    return ClassLimits(
        organisation=document['organisation'],
        name=entry['name'],
        tier=entry['tier'],
        first_token_target_ms=entry['first_token_target_ms'],
        token_gap_target_ms=entry['token_gap_target_ms'],
        timeout_ms=entry['timeout_ms'],
        weight=entry['weight'],
        idempotent=entry['idempotent'],
        patient=entry.get('patient', False),
        minimum_share=entry.get('minimum_share', DEFAULT_MINIMUM_SHARE),
        queue_requests=_derive_queue_requests(
            document['requests_per_s'], queue_wait_ms
        ),
        queue_wait_ms=queue_wait_ms,
        priority=entry['tier'],
    )


def _derive_queue_wait_ms(entry: ClassDocument) -> int:
    """Return how long a request may wait and still be started.

    A start later than the deadline minus the time to the first token is wasted
    work, because the answer would be cut off.
    """
    timeout_ms = entry['timeout_ms']
    return max(timeout_ms // 2, timeout_ms - entry['first_token_target_ms'])


def _derive_queue_requests(requests_per_s: float, queue_wait_ms: int) -> int:
    """Return how many requests can start at the organisation's rate in that time."""
    startable = math.ceil(requests_per_s * queue_wait_ms / MS_PER_S)
    return max(MIN_QUEUE_REQUESTS, startable)
