"""Pending changes of operators, and the replies to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from savorychute.actions.operator_reply import OperatorReply
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.configuration.configuration_state import ConfigurationState
    from savorychute.configuration.proposal import Proposal
    from savorychute.configuration.verdict import Verdict
    from savorychute.inputs.append_finished import AppendFinished

APPEND_PREFIX = 'configuration:'


class ProposalHandler:
    """Replies to each proposal once, after its record was read back from the log.

    A proposal is identified by its record id.  Two commands may wait for the same
    record, because an operator may propose it again.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, list[Proposal]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, proposal: Proposal) -> None:
        """Add a proposal that waits for its verdict."""
        self._waiting.setdefault(proposal.record_id, []).append(proposal)

    def is_waiting(self, record_id: str) -> bool:
        """Return whether a proposal with this record id is waiting."""
        return record_id in self._waiting

    def waiting_ids(self) -> list[str]:
        """Return the record ids of the waiting proposals."""
        return list(self._waiting)

    def append_finished(self, finished: AppendFinished) -> list[OperatorReply]:
        """Handle the outcome of an append.

        Only a refusal ends a proposal.  If the response was lost, the record
        may already be in the log or may still reach it.  Further reads find it, and
        appending it again would not help.

        :param finished: the outcome.
        """
        record_id = finished.append_id.removeprefix(APPEND_PREFIX)
        proposals = self._waiting.get(record_id)
        if proposals is None:
            return []
        if finished.outcome == 'refused':
            del self._waiting[record_id]
            return [make_log_unavailable_reply(each) for each in proposals]
        self._waiting[record_id] = [
            each._replace(
                appended_offset=finished.offset,
                in_doubt=finished.outcome == 'unknown',
            )
            for each in proposals
        ]
        return []

    def apply_verdict(
        self, verdict: Verdict, state: ConfigurationState
    ) -> list[OperatorReply]:
        """Reply to the proposals that the verdict decides.

        :param verdict: the fold's decision.
        :param state: the state right after it.
        """
        proposals = self._waiting.pop(verdict.record_id, [])
        return [
            make_verdict_reply(each.command_id, verdict, state) for each in proposals
        ]

    def expire(self, now_ms: int) -> list[OperatorReply]:
        """Reply to the proposals that were not read back in time."""
        replies = []
        for record_id, proposals in list(self._waiting.items()):
            expired = [each for each in proposals if now_ms >= each.deadline_ms]
            remaining = [each for each in proposals if now_ms < each.deadline_ms]
            replies += [make_unconfirmed_reply(each) for each in expired]
            if remaining:
                self._waiting[record_id] = remaining
            else:
                del self._waiting[record_id]
        return replies


def make_verdict_reply(
    command_id: str, verdict: Verdict, state: ConfigurationState
) -> OperatorReply:
    """Return the reply for a verdict.

    The reply to a conflict contains the version and the document in force, so that
    the operator can merge and propose again without a further query.

    :param command_id: the id of the operator's command.
    :param verdict: the fold's decision.
    :param state: the state that contains the document in force.
    """
    reply_document: dict[str, Any] = {
        'record_id': verdict.record_id,
        'item': verdict.item,
        'offset': verdict.offset,
        'accepted': verdict.accepted,
        'version': verdict.version,
        'message': verdict.message,
    }
    if verdict.code is ResultCode.VERSION_CONFLICT:
        reply_document['version'] = state.versions.get(verdict.item, 0)
        reply_document['document'] = state.document(verdict.item)
    return make_reply(command_id, reply_document, verdict.code)


def make_log_unavailable_reply(proposal: Proposal) -> OperatorReply:
    """Return the reply to a change that is certainly not in the log."""
    reply_document = {
        'record_id': proposal.record_id,
        'item': proposal.item,
        'accepted': False,
        'message': 'the log did not take the change; propose it again later',
    }
    return make_reply(proposal.command_id, reply_document, ResultCode.LOG_UNAVAILABLE)


def make_unconfirmed_reply(proposal: Proposal) -> OperatorReply:
    """Return the reply to a change that may be in the log."""
    reply_document = {
        'record_id': proposal.record_id,
        'item': proposal.item,
        'offset': proposal.appended_offset,
        'message': 'not read back yet; propose it again with this record id to ask',
    }
    return make_reply(
        proposal.command_id, reply_document, ResultCode.CHANGE_UNCONFIRMED
    )


def make_reply(
    command_id: str, reply_document: dict[str, Any], code: ResultCode
) -> OperatorReply:
    """Return a reply to an operator, encoded as JSON.

    :param command_id: the id of the operator's command.
    :param reply_document: the document of the reply.
    :param code: the result code.
    """
    return OperatorReply(command_id, msgspec.json.encode(reply_document), code)
