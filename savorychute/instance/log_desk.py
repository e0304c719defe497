"""Hand news of the platform's log to the parts it belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs import AppendFinished, RecordsRead
    from savorychute.instance.key_desk import KeyDesk
    from savorychute.instance.parts import Parts

AUDIT = 'audit'
CLAIMS = 'claims'
CONFIGURATION = 'configuration'
LEASES = 'leases'


class LogDesk:
    """Dispatch by the stream's name.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts, key_desk: KeyDesk) -> None:
        self._parts = parts
        self._key_desk = key_desk

    def note_append(self, finished: AppendFinished, now_ms: int) -> list[Action]:
        """Tell a part how its append ended."""
        parts = self._parts
        if finished.stream == CONFIGURATION:
            return parts.configuration.append_finished(finished, now_ms)
        if finished.stream == AUDIT:
            return parts.audit.append_finished(finished, now_ms)
        if finished.stream == LEASES:
            return parts.leases.append_finished(finished, now_ms)
        if finished.stream == CLAIMS:
            outcomes = parts.keys.append_finished(finished, now_ms)
            return self._key_desk.follow(outcomes, now_ms)
        return []

    def note_records(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Give a part the records that it asked for."""
        parts = self._parts
        if read.stream == CONFIGURATION:
            return parts.configuration.records_read(read, now_ms)
        if read.stream == AUDIT:
            return parts.audit.records_read(read, now_ms)
        if read.stream == LEASES:
            return parts.leases.records_read(read, now_ms)
        if read.stream == CLAIMS:
            outcomes = parts.keys.records_read(read, now_ms)
            return self._key_desk.follow(outcomes, now_ms)
        return []
