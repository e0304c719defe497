"""Validation of a proposed document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import msgspec

from savorychute.configuration.contract_rules import check_contract
from savorychute.configuration.document_rules import check_name, unknown_fields
from savorychute.configuration.endpoint_rules import check_endpoint
from savorychute.configuration.item_name import CONTRACT, ItemName
from savorychute.contracts.class_document import ClassDocument
from savorychute.contracts.contract_document import ContractDocument
from savorychute.contracts.endpoint_document import EndpointDocument
from savorychute.errors import InvalidChangeError

if TYPE_CHECKING:
    from collections.abc import Mapping

    Document = ContractDocument | EndpointDocument

MAX_DOCUMENT_BYTES = 65_536
MAX_FAULTS_SHOWN = 10


def convert_document(name: ItemName, document: Mapping[str, Any]) -> Document:
    """Validate a document on its own and return it with checked types.

    The result depends on the document alone, so an instance whose state is stale
    can still refuse an invalid document without appending it to the log.

    :param name: the item that the document is for.
    :param document: the decoded JSON.
    :raises InvalidChangeError: if it breaks a rule; the message lists the faults.
    """
    faults = check_name(name.kind, name.name)
    is_contract = name.kind == CONTRACT
    document_type = ContractDocument if is_contract else EndpointDocument
    for field in unknown_fields(document, document_type):
        faults.append(f'{field}: unknown field')
    if is_contract:
        faults += _unknown_class_fields(document)
    try:
        converted = cast('Document', msgspec.convert(document, document_type))
    except (msgspec.ValidationError, OverflowError) as error:
        raise InvalidChangeError('; '.join([*faults, str(error)])) from error
    if is_contract:
        contract = cast('ContractDocument', converted)
        faults += check_contract(contract)
        own_name = contract['organisation']
    else:
        endpoint = cast('EndpointDocument', converted)
        faults += check_endpoint(endpoint)
        own_name = endpoint['endpoint']
    if own_name != name.name:
        faults.append(f'{name}: the document is about {own_name!r}')
    raise_faults(faults)
    return converted


def encode_document(document: Document) -> bytes:
    """Return the document as canonical JSON.

    :param document: as :func:`convert_document` returned it.
    :raises InvalidChangeError: if it exceeds :data:`MAX_DOCUMENT_BYTES`.
    """
    encoded = msgspec.json.encode(document, order='deterministic')
    if len(encoded) > MAX_DOCUMENT_BYTES:
        raise InvalidChangeError(
            f'the document has {len(encoded)} bytes, above {MAX_DOCUMENT_BYTES}'
        )
    return encoded


def raise_faults(faults: list[str]) -> None:
    """Raise an error if there are any faults.

    :param faults: one line for each fault.
    :raises InvalidChangeError: with the first :data:`MAX_FAULTS_SHOWN` faults.
    """
    if faults:
        raise InvalidChangeError('; '.join(faults[:MAX_FAULTS_SHOWN]))


def _unknown_class_fields(document: Mapping[str, Any]) -> list[str]:
    classes = document.get('classes')
    if not isinstance(classes, list):
        return []
    return [
        f'classes.{position}.{field}: unknown field'
        for position, class_document in enumerate(classes)
        if isinstance(class_document, dict)
        for field in unknown_fields(class_document, ClassDocument)
    ]
