"""Validation rules of a single endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.document_rules import (
    ENDPOINT_STATES,
    check_between,
    check_models,
    check_name,
    check_positive,
)

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument

MAX_PORT = 65_535


def check_endpoint(document: EndpointDocument) -> list[str]:
    """Return the faults of an endpoint, one line for each.

    The function does not check whether this build supports the dialect, because
    instances of two versions would then reach different results.

    :param document: an endpoint whose fields have the correct types.
    """
    faults = [
        *check_name('endpoint', document['endpoint']),
        *check_name('dialect', document['dialect']),
        *check_name('host', document['host']),
        *check_name('region', document['region']),
        *check_name('failure_domain', document['failure_domain']),
        *check_between('port', document['port'], 1, MAX_PORT),
        *check_positive('concurrent_requests', document['concurrent_requests']),
        *check_models('models', document.get('models', [])),
    ]
    if document['state'] not in ENDPOINT_STATES:
        faults.append(f'state: {document["state"]!r} is none of {ENDPOINT_STATES}')
    if 'outstanding_tokens' in document:
        faults += check_positive('outstanding_tokens', document['outstanding_tokens'])
    if 'service' in document:
        faults += check_name('service', document['service'])
    if ('service' in document) == ('models' in document):
        faults.append('an endpoint has either models or a service')
    return faults


def check_transition(
    before: EndpointDocument | None, after: EndpointDocument | None
) -> list[str]:
    """Return the reasons why an endpoint cannot change to the new document.

    The state ``retired`` is final, because instances may already have discarded
    their state of the endpoint.  To use the endpoint again, an operator removes it
    and adds it again.  An endpoint that is not retired cannot be removed, because
    work may still be running there.

    :param before: the document in force, None for a new endpoint.
    :param after: the proposed document, None to remove the endpoint.
    """
    if before is None:
        return []
    if after is None:
        if before['state'] != 'retired':
            return [f'state: {before["state"]} endpoints are retired before removal']
        return []
    if before['state'] == 'retired' and after['state'] != 'retired':
        return ['state: a retired endpoint stays retired']
    return []
