"""The fold, with the recent records and the changes not yet consumed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.configuration.applied_change import AppliedChange
from savorychute.configuration.fold import ConfigurationFold
from savorychute.configuration.record_ring import RecordRing
from savorychute.configuration.snapshot_codec import decode_state
from savorychute.errors import MessageError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from savorychute.configuration.configuration_state import ConfigurationState
    from savorychute.configuration.fold import FoldStep
    from savorychute.inputs.log_record import LogRecord


class ConfigurationStore:
    """The configuration as this instance holds it.

    :param ring_bytes: how many bytes of records to retain for other instances.
    """

    def __init__(self, ring_bytes: int) -> None:
        self.fold = ConfigurationFold()
        self.ring = RecordRing(ring_bytes)
        self.rejected_count = 0
        self.repeated_count = 0
        self.adopted_count = 0
        self._changes: list[AppliedChange] = []
        self._steps: list[FoldStep] = []

    @property
    def offset(self) -> int:
        """The last offset that was folded, -1 if there is none."""
        return self.fold.state.offset

    def apply(self, record: LogRecord) -> bool:
        """Fold a record if its offset is the next one.

        :param record: a record from the log or from another instance.
        :returns: whether the record was folded.
        """
        if record.offset != self.offset + 1:
            return False
        step = self.fold.apply(record)
        self.ring.add(record)
        self._steps.append(step)
        if step.change is not None:
            self._changes.append(step.change)
        if step.verdict is not None and not step.verdict.accepted:
            self.rejected_count += 1
        self.repeated_count += step.repeated
        return True

    def adopt(self, data: bytes, offset: int) -> bool:
        """Adopt an encoded state if it is later than the current state.

        The state of a peer that is behind and an obsolete snapshot both have an
        older offset; adopting one would revert a change that is in force.

        :param data: the compressed state.
        :param offset: the offset that was announced for the state.
        :returns: whether the state was adopted.
        """
        try:
            state, verdicts = decode_state(data)
        except MessageError:
            return False
        if state.offset != offset or offset <= self.offset:
            return False
        before = self.fold.state
        self.fold.adopt(state, verdicts)
        self.ring.clear()
        self.adopted_count += 1
        self._changes += self._differences(before, state)
        return True

    def take_changes(self) -> list[AppliedChange]:
        """Return and clear the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def take_steps(self) -> list[FoldStep]:
        """Return and clear the fold steps since the last call."""
        steps, self._steps = self._steps, []
        return steps

    def _differences(
        self, before: ConfigurationState, after: ConfigurationState
    ) -> Iterator[AppliedChange]:
        accepted_by_version = {
            each.version: each for each in self.fold.verdicts.all() if each.accepted
        }
        for item in sorted({*before.versions, *after.versions}):
            old_version = before.versions.get(item, 0)
            new_version = after.versions.get(item, 0)
            if old_version == new_version:
                continue
            verdict = accepted_by_version.get(new_version)
            yield AppliedChange(
                item=item,
                from_version=old_version,
                to_version=new_version or after.offset + 1,
                document=after.document(item),
                offset=after.offset,
                operator=verdict.operator if verdict else '',
                record_id=verdict.record_id if verdict else '',
                why=verdict.why if verdict else '',
            )
