"""Applies published configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.store.unreadable_record import UnreadableRecord
from savorychute.gateway.translation_error import TranslationError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.configuration.configuration_state import (
        ConfigurationState,
    )
    from savorychute.gateway.configuration.deployment import Deployment
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.read_plan import ReadPlan
    from savorychute.gateway.store.store_errors import StoreUnavailableError
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.telemetry import GatewayTelemetry


class ConfigurationListener:
    """Decodes records and applies newer versions of the configuration.

    A read without a newer version confirms the applied one. There are three exceptions.
    A record that cannot be decoded confirms nothing, because it is a newer version that
    is unknown here. A read that left records unread confirms nothing, because one of
    them may revoke a key. After the store was restored from an older copy, a read whose
    newest version is older than the applied one confirms nothing, because a newer
    version may be lost until the operator writes it again.

    :param state: the applied version.
    :param plan: records whether the store can be read.
    :param decode: decodes a record into a configuration.
    :param telemetry: logs each version.
    :param on_applied: called with each version that was applied.
    """

    def __init__(
        self,
        state: ConfigurationState,
        plan: ReadPlan,
        decode: Callable[[str, bytes], Deployment | None],
        telemetry: GatewayTelemetry,
        on_applied: Callable[[Deployment], None],
    ) -> None:
        self._state = state
        self._plan = plan
        self._decode = decode
        self._telemetry = telemetry
        self._on_applied = on_applied
        # The newest version read since the last listing; -1 if there is none.
        self._newest_read_version = -1

    def on_snapshot(self, snapshot: TopicSnapshot, started_ms: int) -> None:
        """Apply the newest records."""
        self._newest_read_version = -1
        self._apply(snapshot.records, started_ms, read_all=True)

    def on_delta(self, delta: TopicDelta, started_ms: int) -> None:
        """Apply further records."""
        self._apply(delta.records, started_ms, read_all=delta.remaining == 0)

    def on_failure(self, error: StoreUnavailableError) -> None:
        """Record that the applied version could not be confirmed."""
        self._telemetry.store_failed('configuration', error)
        self._plan.failing_topics.add('configuration')

    def _apply(
        self,
        records: Sequence[KeyedRecord | UnreadableRecord],
        started_ms: int,
        *,
        read_all: bool,
    ) -> None:
        self._telemetry.store_responded('configuration')
        self._plan.failing_topics.discard('configuration')
        newest_is_readable = True
        for record in records:
            if isinstance(record, UnreadableRecord):
                # Its key cannot be read either, so it is not the operator's document.
                self._telemetry.record_unreadable('configuration', record)
                continue
            if record.value is None:
                continue
            try:
                deployment = self._decode(record.key, record.value)
            except TranslationError as error:
                unreadable = UnreadableRecord(record.offset, record.key, error.message)
                self._telemetry.record_unreadable('configuration', unreadable)
                newest_is_readable = False
                continue
            if deployment is None:
                continue
            newest_is_readable = True
            self._newest_read_version = max(
                self._newest_read_version, deployment.version
            )
            if self._state.apply(deployment):
                self._telemetry.configuration_applied(deployment, record.offset)
                self._on_applied(deployment)
        is_current = self._newest_read_version >= self._state.version
        if (
            read_all
            and newest_is_readable
            and is_current
            and self._state.table is not None
        ):
            self._state.confirm(started_ms)
