"""Commands for endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import RequestError
from savorychute.instance.operator_commands.amendment import read_base_version
from savorychute.instance.operator_verbs import OPERATOR_VERBS
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.operator_call import OperatorCall


@OPERATOR_VERBS.register('endpoint-add')
def add_endpoint(call: OperatorCall) -> list[Action]:
    """Propose a new endpoint or a new document of an endpoint."""
    document = call.arguments.get('document')
    if not isinstance(document, dict) or not document.get('endpoint'):
        raise RequestError(
            ResultCode.BAD_FIELD, 'argument "document" must describe an endpoint'
        )
    return call.parts.configuration.propose(
        call.command_id,
        call.operator,
        f'endpoint:{document["endpoint"]}',
        read_base_version(call),
        document,
        call.require_text('why'),
        call.now_ms,
        call.arguments.get('record_id') or '',
    )


@OPERATOR_VERBS.register('endpoint-drain')
def drain_endpoint(call: OperatorCall) -> list[Action]:
    """Propose that an endpoint gets no new work."""
    return _propose_state(call, 'draining')


@OPERATOR_VERBS.register('endpoint-retire')
def retire_endpoint(call: OperatorCall) -> list[Action]:
    """Propose that an endpoint is retired permanently."""
    return _propose_state(call, 'retired')


@OPERATOR_VERBS.register('endpoint-list')
def list_endpoints(call: OperatorCall) -> list[Action]:
    """Return every endpoint with its version and whether it gets new work."""
    parts = call.parts
    versions = parts.configuration.state.versions
    entries = [
        {
            **document,
            'version': versions.get(f'endpoint:{name}', 0),
            'usable': parts.directory.is_usable(name),
            'allowed': parts.ejector.is_allowed(name, call.now_ms),
        }
        for name, document in sorted(parts.directory.endpoints.items())
    ]
    return [call.reply({'endpoints': entries})]


def _propose_state(call: OperatorCall, state: str) -> list[Action]:
    """Propose the endpoint's current document with another state.

    Without a base version the one in force is used, because a drain is intended
    whatever else has changed in the meantime.
    """
    endpoint = call.require_text('endpoint')
    item = f'endpoint:{endpoint}'
    configuration = call.parts.configuration.state
    document = configuration.endpoints.get(endpoint)
    if document is None:
        raise RequestError(ResultCode.NOT_FOUND, f'no endpoint {endpoint!r}')
    base_version = configuration.versions[item]
    if call.arguments.get('base_version') is not None:
        base_version = read_base_version(call)
    return call.parts.configuration.propose(
        call.command_id,
        call.operator,
        item,
        base_version,
        {**document, 'state': state},
        call.require_text('why'),
        call.now_ms,
        call.arguments.get('record_id') or '',
    )
