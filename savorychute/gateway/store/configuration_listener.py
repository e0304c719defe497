"""Puts published configurations in force."""

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
    from savorychute.gateway.store.reading_plan import ReadingPlan
    from savorychute.gateway.store.store_errors import StoreUnavailableError
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot
    from savorychute.gateway.telemetry import GatewayTelemetry


class ConfigurationListener:
    """Decodes records and hands newer versions to the state.

    A read that shows nothing new confirms the version in force.  A record that
    cannot be read confirms nothing: a newer version exists that is not known here.  Nor
    does a read that left records behind, one of which may take a key back, nor one in which
    the store, back from an older copy, shows no version as new as the one in force: a newer
    one may be lost until the operator writes it again.

    :param state: the version in force.
    :param plan: is told whether the store can be read.
    :param decode: turns a record into a configuration.
    :param telemetry: is told of each version.
    :param on_applied: called with each version put in force.
    """

    def __init__(
        self,
        state: ConfigurationState,
        plan: ReadingPlan,
        decode: Callable[[str, bytes], Deployment | None],
        telemetry: GatewayTelemetry,
        on_applied: Callable[[Deployment], None],
    ) -> None:
        self._state = state
        self._plan = plan
        self._decode = decode
        self._telemetry = telemetry
        self._on_applied = on_applied
        # The newest version since the last listing, -1 for none.
        self._shown_version = -1

    def topic_listed(self, snapshot: TopicSnapshot, began_ms: int) -> None:
        """Take the newest records."""
        self._shown_version = -1
        self._take(snapshot.records, began_ms, read_all=True)

    def topic_changed(self, delta: TopicDelta, began_ms: int) -> None:
        """Take further records."""
        self._take(delta.records, began_ms, read_all=delta.left == 0)

    def topic_failed(self, error: StoreUnavailableError) -> None:
        """Note that the version in force could not be confirmed."""
        self._telemetry.store_failed('configuration', error)
        self._plan.failing_topics.add('configuration')

    def _take(
        self,
        records: Sequence[KeyedRecord | UnreadableRecord],
        began_ms: int,
        *,
        read_all: bool,
    ) -> None:
        self._telemetry.store_answered('configuration')
        self._plan.failing_topics.discard('configuration')
        newest_read = True
        for record in records:
            if isinstance(record, UnreadableRecord):
                # Not even its key can be had, so it is not the operator's document.
                self._telemetry.record_unreadable('configuration', record)
                continue
            if record.value is None:
                continue
            try:
                deployment = self._decode(record.key, record.value)
            except TranslationError as error:
                bad = UnreadableRecord(record.offset, record.key, error.message)
                self._telemetry.record_unreadable('configuration', bad)
                newest_read = False
                continue
            if deployment is None:
                continue
            newest_read = True
            self._shown_version = max(self._shown_version, deployment.version)
            if self._state.apply(deployment):
                self._telemetry.configuration_applied(deployment, record.offset)
                self._on_applied(deployment)
        shown = self._shown_version >= self._state.version
        if read_all and newest_read and shown and self._state.table is not None:
            self._state.confirm(began_ms)
