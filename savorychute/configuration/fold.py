"""The deterministic fold of log records into the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, cast

from savorychute.configuration.amendment_check import (
    convert_document,
    encode_document,
    raise_faults,
)
from savorychute.configuration.amendment_record import AMENDMENT_KIND, AmendmentRecord
from savorychute.configuration.applied_change import AppliedChange
from savorychute.configuration.configuration_state import (
    NO_OFFSET,
    ConfigurationState,
)
from savorychute.configuration.endpoint_rules import check_transition
from savorychute.configuration.item_name import CONTRACT, ItemName, parse_item
from savorychute.configuration.pool_rules import PoolRules
from savorychute.configuration.record_codec import decode_record
from savorychute.configuration.verdict import Verdict
from savorychute.configuration.verdict_memory import (
    REMEMBERED_OFFSETS,
    VerdictMemory,
)
from savorychute.errors import InvalidChangeError
from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.configuration.snapshot_record import SnapshotRecord
    from savorychute.contracts.contract_document import ContractDocument
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs.log_record import LogRecord

MAX_TEXT_CHARACTERS = 1_000
MAX_ID_CHARACTERS = 128
MAX_ITEM_CHARACTERS = 160


class FoldStep(NamedTuple):
    """The effect of the record at ``offset``.

    ``verdict`` is None for a snapshot and for a repeated record.
    """

    offset: int
    verdict: Verdict | None = None
    change: AppliedChange | None = None
    snapshot: SnapshotRecord | None = None
    repeated: bool = False


class ConfigurationFold:
    """Applies records in the order of their offsets."""

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.verdicts = VerdictMemory()
        self.pool = PoolRules()

    def apply(self, record: LogRecord) -> FoldStep:
        """Apply the record that follows the last one.

        :param record: the record at the next offset.
        :raises ValueError: if the record has any other offset; a gap would make
            the state of this instance differ permanently from that of all others.
        """
        if record.offset != self.state.offset + 1:
            raise ValueError(f'{record.offset} does not follow {self.state.offset}')
        step = self._fold_record(record)
        self.state.offset = record.offset
        self.verdicts.discard_before(record.offset - REMEMBERED_OFFSETS)
        if step.verdict is not None:
            self.verdicts.add(step.verdict)
        return step

    def adopt(self, state: ConfigurationState, verdicts: VerdictMemory) -> None:
        """Replace the whole state.

        :param state: the state at a later offset.
        :param verdicts: the verdicts that belong to the state.
        :raises ValueError: if *state* is not later than the state in force.
        """
        if state.offset <= self.state.offset:
            raise ValueError(f'{state.offset} is not after {self.state.offset}')
        self.state = state
        self.verdicts = verdicts
        self.pool = PoolRules()
        for document in state.contracts.values():
            self.pool.add(document)

    def _fold_record(self, record: LogRecord) -> FoldStep:
        decoded = decode_record(record.payload)
        if decoded is None:
            return FoldStep(record.offset, verdict=_reject_unreadable(record.offset))
        if decoded['kind'] != AMENDMENT_KIND:
            return FoldStep(record.offset, snapshot=cast('SnapshotRecord', decoded))
        amendment = cast('AmendmentRecord', decoded)
        # If the response to an append is lost, the record may be appended again and
        # appear twice in the log.  The second record has no effect because its id is
        # remembered; one so late that its id may have been discarded is rejected
        # below as too old.
        if self.verdicts.find(amendment['record_id'][:MAX_ID_CHARACTERS]) is not None:
            return FoldStep(record.offset, repeated=True)
        try:
            change = self._amend(amendment, record.offset)
        except InvalidChangeError as error:
            return FoldStep(
                record.offset,
                verdict=self._make_verdict(
                    amendment, record.offset, error.code, error.message
                ),
            )
        if change is None:
            message = f'based on {amendment["base_version"]}, which is not in force'
            code = ResultCode.VERSION_CONFLICT
            return FoldStep(
                record.offset,
                verdict=self._make_verdict(amendment, record.offset, code, message),
            )
        verdict = self._make_verdict(amendment, record.offset, ResultCode.OK, '')
        verdict = verdict._replace(version=change.to_version)
        return FoldStep(record.offset, verdict=verdict, change=change)

    def _amend(self, amendment: AmendmentRecord, offset: int) -> AppliedChange | None:
        """Apply the amendment, or return None if its base version is not in force."""
        _check_texts(amendment, offset)
        name = parse_item(amendment['item'])
        if name is None:
            raise InvalidChangeError(f'no item is called {amendment["item"][:40]!r}')
        before_version = self.state.versions.get(amendment['item'], 0)
        if amendment['base_version'] != before_version:
            return None
        if amendment['document'] is None:
            return self._remove(name, amendment, offset)
        return self._replace(name, amendment, amendment['document'], offset)

    def _replace(
        self,
        name: ItemName,
        amendment: AmendmentRecord,
        proposed: dict[str, Any],
        offset: int,
    ) -> AppliedChange:
        document = convert_document(name, proposed)
        encoded = encode_document(document)
        if name.kind == CONTRACT:
            after = cast('ContractDocument', document)
            before = self.state.contracts.get(name.name)
            raise_faults(self.pool.check(before, after))
            if before is not None:
                self.pool.remove(before)
            self.pool.add(after)
        else:
            endpoint = cast('EndpointDocument', document)
            raise_faults(
                check_transition(self.state.endpoints.get(name.name), endpoint)
            )
        self.state.put(name, offset + 1, encoded)
        return _make_change(amendment, document, offset)

    def _remove(
        self, name: ItemName, amendment: AmendmentRecord, offset: int
    ) -> AppliedChange:
        if str(name) not in self.state.versions:
            raise InvalidChangeError(f'{name}: there is nothing to remove')
        if name.kind == CONTRACT:
            self.pool.remove(self.state.contracts[name.name])
        else:
            raise_faults(check_transition(self.state.endpoints[name.name], None))
        self.state.remove(name)
        return _make_change(amendment, None, offset)

    def _make_verdict(
        self, amendment: AmendmentRecord, offset: int, code: ResultCode, message: str
    ) -> Verdict:
        item = amendment['item'][:MAX_ITEM_CHARACTERS]
        return Verdict(
            offset=offset,
            record_id=amendment['record_id'][:MAX_ID_CHARACTERS],
            item=item,
            operator=amendment['operator'][:MAX_ID_CHARACTERS],
            code=code,
            version=self.state.versions.get(item, 0),
            message=message[:MAX_TEXT_CHARACTERS],
            why=amendment['why'][:MAX_TEXT_CHARACTERS],
            at_ms=amendment['at_ms'],
        )


def _reject_unreadable(offset: int) -> Verdict:
    return Verdict(
        offset=offset,
        record_id='',
        item='',
        operator='',
        code=ResultCode.INVALID_CHANGE,
        version=0,
        message='the record cannot be read',
        why='',
        at_ms=0,
    )


def _check_texts(amendment: AmendmentRecord, offset: int) -> None:
    if not 0 < len(amendment['record_id']) <= MAX_ID_CHARACTERS:
        raise InvalidChangeError('record_id: empty or too long')
    if len(amendment['why']) > MAX_TEXT_CHARACTERS:
        raise InvalidChangeError(f'why: longer than {MAX_TEXT_CHARACTERS} characters')
    if not 0 < len(amendment['operator']) <= MAX_ID_CHARACTERS:
        raise InvalidChangeError('operator: empty or too long')
    if not NO_OFFSET <= amendment['seen_offset'] < offset:
        raise InvalidChangeError('seen_offset: not before the record')
    if offset - amendment['seen_offset'] > REMEMBERED_OFFSETS:
        raise InvalidChangeError('proposed too many records ago')


def _make_change(
    amendment: AmendmentRecord,
    document: ContractDocument | EndpointDocument | None,
    offset: int,
) -> AppliedChange:
    return AppliedChange(
        item=amendment['item'],
        from_version=amendment['base_version'],
        to_version=offset + 1,
        document=document,
        offset=offset,
        operator=amendment['operator'],
        record_id=amendment['record_id'],
        why=amendment['why'],
        instance=amendment['instance'][:MAX_ID_CHARACTERS],
    )
