"""Append operators' changes to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from savorychute.actions.append_record import AppendRecord
from savorychute.configuration.amendment_check import convert_document
from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.item_name import parse_item
from savorychute.configuration.log_reader import CONFIGURATION_STREAM
from savorychute.configuration.proposal import Proposal
from savorychute.configuration.proposal_handler import (
    APPEND_PREFIX,
    ProposalHandler,
    make_log_unavailable_reply,
    make_reply,
    make_verdict_reply,
)
from savorychute.configuration.record_codec import encode_record
from savorychute.errors import InvalidChangeError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    import random

    from savorychute.actions.operator_reply import OperatorReply
    from savorychute.configuration.configuration_store import ConfigurationStore
    from savorychute.configuration.log_budget import LogBudget
    from savorychute.configuration.log_reader import LogReader
    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.configuration.verdict import Verdict
    from savorychute.inputs.append_finished import AppendFinished
    from savorychute.member_address import MemberAddress

RECORD_ID_SALT_BITS = 32


class Proposer:
    """Appends a change once and replies when its record was read back.

    :param settings: timeouts.
    :param address: the address of this instance.
    :param store: the configuration that this instance holds.
    :param reader: schedules the reads of the log.
    :param budget: counts the appends.
    :param rng: makes record ids differ from those of an earlier run.
    """

    def __init__(
        self,
        settings: ConfigurationSettings,
        address: MemberAddress,
        store: ConfigurationStore,
        reader: LogReader,
        budget: LogBudget,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._address = address
        self._store = store
        self._reader = reader
        self._budget = budget
        self._rng = rng
        self._handler = ProposalHandler()
        self._count = 0

    @property
    def is_waiting(self) -> bool:
        """Whether any change waits for its verdict."""
        return len(self._handler) > 0

    def propose(
        self,
        command_id: str,
        operator: str,
        item: str,
        base_version: int,
        document: dict[str, Any] | None,
        why: str,
        now_ms: int,
        record_id: str = '',
    ) -> list[AppendRecord | OperatorReply]:
        """Append a change to the log, or reply at once if that is not needed.

        :param command_id: the id of the operator's command.
        :param operator: the name of the operator.
        :param item: the contract or endpoint.
        :param base_version: the version that the operator saw, 0 for none.
        :param document: the new document, None to remove the item.
        :param why: the operator's reason.
        :param record_id: the record id of an earlier proposal, to query its result
            or to propose it again idempotently.
        """
        self._count += 1
        record_id = record_id or self._make_record_id()
        immediate_reply = self._reply_without_log(
            command_id, item, base_version, document, record_id, now_ms
        )
        if immediate_reply is not None:
            return [immediate_reply]
        is_waiting = self._handler.is_waiting(record_id)
        deadline_ms = now_ms + self._settings.confirm_timeout_ms
        self._handler.add(Proposal(command_id, record_id, item, deadline_ms))
        if is_waiting:
            return []
        record = AmendmentRecord(
            kind=AMENDMENT_KIND,
            record_id=record_id,
            operator=operator,
            instance=self._address.instance,
            item=item,
            base_version=base_version,
            seen_offset=self._store.offset,
            document=document,
            why=why,
            at_ms=now_ms + self._settings.epoch_offset_ms,
        )
        self._budget.acquire('amendment', now_ms)
        append_id = f'{APPEND_PREFIX}{record_id}'
        return [AppendRecord(append_id, CONFIGURATION_STREAM, encode_record(record))]

    def append_finished(
        self, finished: AppendFinished, now_ms: int
    ) -> list[OperatorReply]:
        """Handle the outcome of an append, and read the log for the verdict.

        :param finished: the outcome.
        """
        if finished.outcome == 'refused':
            self._reader.fail(now_ms)
        else:
            self._reader.read_at_once(now_ms)
        return self._handler.append_finished(finished)

    def apply_verdict(self, verdict: Verdict) -> list[OperatorReply]:
        """Reply to the proposals that wait for this verdict.

        :param verdict: the fold's decision on a record that was read.
        """
        return self._handler.apply_verdict(verdict, self._store.fold.state)

    def apply_adopted_verdicts(self) -> list[OperatorReply]:
        """Reply to the proposals whose verdicts are part of an adopted state."""
        verdicts = self._store.fold.verdicts
        return [
            reply
            for record_id in self._handler.waiting_ids()
            if (verdict := verdicts.find(record_id)) is not None
            for reply in self.apply_verdict(verdict)
        ]

    def expire(self, now_ms: int) -> list[OperatorReply]:
        """Reply to the proposals whose deadline has passed."""
        return self._handler.expire(now_ms)

    def _reply_without_log(
        self,
        command_id: str,
        item: str,
        base_version: int,
        document: dict[str, Any] | None,
        record_id: str,
        now_ms: int,
    ) -> OperatorReply | None:
        """Return the reply if it does not depend on the log, otherwise None."""
        state = self._store.fold.state
        verdict = self._store.fold.verdicts.find(record_id)
        if verdict is not None:
            if verdict.item != item:
                return _refuse(command_id, item, 'the record id is of another change')
            return make_verdict_reply(command_id, verdict, state)
        name = parse_item(item)
        if name is None:
            return _refuse(command_id, item, f'no item is called {item[:40]!r}')
        if document is not None:
            try:
                convert_document(name, document)
            except InvalidChangeError as error:
                return _refuse(command_id, item, error.message)
        version = state.versions.get(item, 0)
        # A version that this instance has seen replaced never comes back, so the
        # fold would reject the change as well.  A base version that it has not seen
        # yet means that this instance is behind, so the change is appended.
        if base_version != version and base_version <= state.offset + 1:
            reply_document = {
                'record_id': record_id,
                'item': item,
                'accepted': False,
                'version': version,
                'document': state.document(item),
                'message': f'based on {base_version}, which is not in force',
            }
            return make_reply(command_id, reply_document, ResultCode.VERSION_CONFLICT)
        if self._reader.is_down(now_ms) and not self._handler.is_waiting(record_id):
            return make_log_unavailable_reply(
                Proposal(command_id, record_id, item, now_ms)
            )
        return None

    def _make_record_id(self) -> str:
        address = self._address
        salt = self._rng.getrandbits(RECORD_ID_SALT_BITS)
        return f'{address.instance}.{address.incarnation}.{self._count}.{salt:08x}'


def _refuse(command_id: str, item: str, message: str) -> OperatorReply:
    reply_document = {'item': item, 'accepted': False, 'message': message}
    return make_reply(command_id, reply_document, ResultCode.INVALID_CHANGE)
