"""Commands for contracts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.errors import RequestError
from savorychute.instance.operator_commands.amendment import read_base_version
from savorychute.instance.operator_verbs import OPERATOR_VERBS
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.operator_call import OperatorCall


@OPERATOR_VERBS.register('contract-show')
def show_contract(call: OperatorCall) -> list[Action]:
    """Return a contract, its version and the limits derived from it."""
    organisation = call.require_text('organisation')
    item = f'contract:{organisation}'
    state = call.parts.configuration.state
    document = state.contracts.get(organisation)
    limits = call.parts.directory.limits.get(organisation)
    if document is None or limits is None:
        raise RequestError(ResultCode.NOT_FOUND, f'no contract of {organisation!r}')
    classes = {name: limits._asdict() for name, limits in limits.classes.items()}
    reply_document = {
        'organisation': organisation,
        'version': state.versions[item],
        'document': document,
        'limits': {**limits._asdict(), 'classes': classes},
    }
    return [call.reply(reply_document)]


@OPERATOR_VERBS.register('contract-amend')
def amend_contract(call: OperatorCall) -> list[Action]:
    """Propose a contract's next version; the reply is sent after the read-back."""
    organisation = call.require_text('organisation')
    document = call.arguments.get('document')
    if not isinstance(document, dict):
        raise RequestError(
            ResultCode.BAD_FIELD, 'argument "document" must be an object'
        )
    return call.parts.configuration.propose(
        call.command_id,
        call.operator,
        f'contract:{organisation}',
        read_base_version(call),
        document,
        call.require_text('why'),
        call.now_ms,
        call.arguments.get('record_id') or '',
    )


@OPERATOR_VERBS.register('contract-history')
def show_history(call: OperatorCall) -> list[Action]:
    """Return the verdicts on a contract's amendments, oldest first."""
    organisation = call.require_text('organisation')
    verdicts = call.parts.configuration.history(f'contract:{organisation}')
    entries: list[dict[str, Any]] = [
        {**verdict._asdict(), 'code': verdict.code.name} for verdict in verdicts
    ]
    return [call.reply({'organisation': organisation, 'history': entries})]
