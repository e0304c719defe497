"""Commands that read the audit trail and the histories of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.audit.audit_query import AuditQuery
from savorychute.errors import RequestError
from savorychute.instance.operator_verbs import OPERATOR_VERBS
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.operator_call import OperatorCall


@OPERATOR_VERBS.register('audit')
def show_audit(call: OperatorCall) -> list[Action]:
    """Return audit entries, filtered by item, operator and offset."""
    arguments = call.arguments
    query = AuditQuery(
        item=arguments.get('item') or '',
        operator=arguments.get('operator') or '',
        since_offset=arguments.get('since_offset') or 0,
    )
    return call.parts.audit.start_search(call.command_id, query, call.now_ms)


@OPERATOR_VERBS.register('explain')
def explain_request(call: OperatorCall) -> list[Action]:
    """Return the history of a request and, if it has ended, its outcome."""
    request_id = call.require_text('request_id')
    explanation = call.explanations.find(request_id)
    if explanation is not None:
        outcome = explanation.outcome
        reply_document = {
            'request_id': request_id,
            'outcome': {**outcome._asdict(), 'code': outcome.code.name},
            'history': [event._asdict() for event in explanation.history],
        }
        return [call.reply(reply_document)]
    tracked = call.parts.request_table.find(request_id)
    if tracked is None:
        raise RequestError(
            ResultCode.NOT_FOUND,
            f'request {request_id!r} did not end here, or too long ago',
        )
    history = [event._asdict() for event in tracked.lifecycle.history]
    return [call.reply({'request_id': request_id, 'history': history})]
