"""Validation rules of a single contract."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.document_rules import (
    MAX_CLASSES,
    MAX_MS,
    MAX_TIER,
    SHARE_UNITS,
    check_between,
    check_models,
    check_name,
    check_names,
    check_positive,
    check_token_hashes,
    share_units,
)

if TYPE_CHECKING:
    from savorychute.contracts.class_document import ClassDocument
    from savorychute.contracts.contract_document import ContractDocument


def check_contract(document: ContractDocument) -> list[str]:
    """Return the faults of a contract, one line for each.

    :param document: a contract whose fields have the correct types.
    """
    return [
        *check_name('organisation', document['organisation']),
        *check_token_hashes(document['token_hashes']),
        *check_between('pool_share', document['pool_share'], 0, 1),
        *check_positive('requests_per_s', document['requests_per_s']),
        *check_positive('concurrent_requests', document['concurrent_requests']),
        *check_positive('tokens_per_s', document['tokens_per_s']),
        *check_models('models', document['models']),
        *check_names('services', document.get('services', [])),
        *check_between('retry_share', document.get('retry_share', 0.0), 0, 1),
        *_check_classes(document['classes']),
    ]


def _check_classes(classes: list[ClassDocument]) -> list[str]:
    faults = check_names('classes', (document['name'] for document in classes))
    if not 1 <= len(classes) <= MAX_CLASSES:
        faults.append(f'classes: {len(classes)} of them, not 1 to {MAX_CLASSES}')
    for document in classes:
        faults += _check_class(document)
    reserved = sum(
        share_units(document.get('minimum_share', 0.0)) for document in classes
    )
    if reserved > SHARE_UNITS:
        faults.append(
            f'classes: minimum shares add up to {reserved / SHARE_UNITS}, above 1'
        )
    return faults


def _check_class(document: ClassDocument) -> list[str]:
    path = f'classes.{document["name"]}'
    faults = [
        *check_between(f'{path}.tier', document['tier'], 0, MAX_TIER),
        *check_positive(f'{path}.timeout_ms', document['timeout_ms'], MAX_MS),
        *check_positive(f'{path}.weight', document['weight']),
        *check_between(
            f'{path}.minimum_share', document.get('minimum_share', 0.0), 0, 1
        ),
        *check_positive(
            f'{path}.first_token_target_ms', document['first_token_target_ms'], MAX_MS
        ),
        *check_positive(
            f'{path}.token_gap_target_ms', document['token_gap_target_ms'], MAX_MS
        ),
    ]
    if document['first_token_target_ms'] > document['timeout_ms']:
        faults.append(f'{path}: the target is later than the timeout')
    return faults
