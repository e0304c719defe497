"""Pass results of the platform's log to the parts that own the streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.inputs import AppendFinished, RecordsRead
    from savorychute.instance.key_handler import KeyHandler
    from savorychute.instance.parts import InstanceParts

AUDIT_STREAM = 'audit'
CLAIMS_STREAM = 'claims'
CONFIGURATION_STREAM = 'configuration'
LEASES_STREAM = 'leases'


class LogResultHandler:
    """Dispatches results of appends and reads by the name of the stream.

    :param parts: the parts of the instance.
    :param key_handler: handles the outcomes of the key manager.
    """

    def __init__(self, parts: InstanceParts, key_handler: KeyHandler) -> None:
        self._parts = parts
        self._key_handler = key_handler

    def handle_finished_append(
        self, finished: AppendFinished, now_ms: int
    ) -> list[Action]:
        """Pass the result of an append to its part."""
        parts = self._parts
        if finished.stream == CONFIGURATION_STREAM:
            return parts.configuration.append_finished(finished, now_ms)
        if finished.stream == AUDIT_STREAM:
            return parts.audit.append_finished(finished, now_ms)
        if finished.stream == LEASES_STREAM:
            return parts.leases.append_finished(finished, now_ms)
        if finished.stream == CLAIMS_STREAM:
            outcomes = parts.keys.append_finished(finished, now_ms)
            return self._key_handler.handle_outcomes(outcomes, now_ms)
        return []

    def handle_records(self, read: RecordsRead, now_ms: int) -> list[Action]:
        """Pass the records of a read to its part."""
        parts = self._parts
        if read.stream == CONFIGURATION_STREAM:
            return parts.configuration.records_read(read, now_ms)
        if read.stream == AUDIT_STREAM:
            return parts.audit.records_read(read, now_ms)
        if read.stream == LEASES_STREAM:
            return parts.leases.records_read(read, now_ms)
        if read.stream == CLAIMS_STREAM:
            outcomes = parts.keys.records_read(read, now_ms)
            return self._key_handler.handle_outcomes(outcomes, now_ms)
        return []
