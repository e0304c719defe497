"""Operators' changes that wait for their verdicts."""

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


class ProposalDesk:
    """Answers each proposal once, and only from what was read back.

    A proposal is known by its record id.  Two commands may wait for the same
    record, because an operator may propose it again.
    """

    def __init__(self) -> None:
        self._waiting: dict[str, list[Proposal]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def open(self, proposal: Proposal) -> None:
        """Wait for the verdict on a proposal."""
        self._waiting.setdefault(proposal.record_id, []).append(proposal)

    def is_waiting(self, record_id: str) -> bool:
        """Return whether a proposal with this id waits."""
        return record_id in self._waiting

    def waiting_ids(self) -> list[str]:
        """Return the record ids of the proposals that wait."""
        return list(self._waiting)

    def append_finished(self, finished: AppendFinished) -> list[OperatorReply]:
        """Take in the outcome of an append.

        Only a refusal ends a proposal.  When the reply was lost, the record
        may be in the log, now or soon: reading on finds it, and appending it
        again could not make it any safer.

        :param finished: the outcome.
        """
        record_id = finished.append_id.removeprefix(APPEND_PREFIX)
        proposals = self._waiting.get(record_id)
        if proposals is None:
            return []
        if finished.outcome == 'refused':
            del self._waiting[record_id]
            return [refuse_for_log(each) for each in proposals]
        self._waiting[record_id] = [
            each._replace(
                appended_offset=finished.offset,
                in_doubt=finished.outcome == 'unknown',
            )
            for each in proposals
        ]
        return []

    def decide(
        self, verdict: Verdict, state: ConfigurationState
    ) -> list[OperatorReply]:
        """Answer the proposals that the verdict is about.

        :param verdict: the fold's decision.
        :param state: the state right after it.
        """
        proposals = self._waiting.pop(verdict.record_id, [])
        return [reply_verdict(each.command_id, verdict, state) for each in proposals]

    def expire(self, now_ms: int) -> list[OperatorReply]:
        """Answer the proposals that were not read back in time."""
        replies = []
        for record_id, proposals in list(self._waiting.items()):
            late = [each for each in proposals if now_ms >= each.deadline_ms]
            rest = [each for each in proposals if now_ms < each.deadline_ms]
            replies += [reply_unconfirmed(each) for each in late]
            if rest:
                self._waiting[record_id] = rest
            else:
                del self._waiting[record_id]
        return replies


def reply_verdict(
    command_id: str, verdict: Verdict, state: ConfigurationState
) -> OperatorReply:
    """Return the answer that follows from a verdict.

    A conflict shows the version and the document in force, so that the
    operator can merge and propose again without another question.

    :param command_id: the operator's command.
    :param verdict: the fold's decision.
    :param state: the state to take the document in force from.
    """
    answer: dict[str, Any] = {
        'record_id': verdict.record_id,
        'item': verdict.item,
        'offset': verdict.offset,
        'accepted': verdict.accepted,
        'version': verdict.version,
        'message': verdict.message,
    }
    if verdict.code is ResultCode.VERSION_CONFLICT:
        answer['version'] = state.versions.get(verdict.item, 0)
        answer['document'] = state.document(verdict.item)
    return reply(command_id, answer, verdict.code)


def refuse_for_log(proposal: Proposal) -> OperatorReply:
    """Return the answer to a change that is certainly not in the log."""
    answer = {
        'record_id': proposal.record_id,
        'item': proposal.item,
        'accepted': False,
        'message': 'the log did not take the change; propose it again later',
    }
    return reply(proposal.command_id, answer, ResultCode.LOG_UNAVAILABLE)


def reply_unconfirmed(proposal: Proposal) -> OperatorReply:
    """Return the answer to a change that may be in the log."""
    answer = {
        'record_id': proposal.record_id,
        'item': proposal.item,
        'offset': proposal.appended_offset,
        'message': 'not read back yet; propose it again with this record id to ask',
    }
    return reply(proposal.command_id, answer, ResultCode.CHANGE_UNCONFIRMED)


def reply(command_id: str, answer: dict[str, Any], code: ResultCode) -> OperatorReply:
    """Return an operator's answer as JSON.

    :param command_id: the operator's command.
    :param answer: what to say.
    :param code: the result.
    """
    return OperatorReply(command_id, msgspec.json.encode(answer), code)
