"""Keeps the roster of endpoints by what they register."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.translation_error import TranslationError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.store.keyed_record import KeyedRecord
    from savorychute.gateway.store.store_errors import StoreUnavailableError
    from savorychute.gateway.telemetry import GatewayTelemetry


class EndpointListener:
    """Hands entries to the roster.

    :param roster: the endpoints.
    :param decode: turns a record into an entry.
    :param telemetry: is told of what changes.
    :param clock: the time.
    """

    def __init__(
        self,
        roster: EndpointRoster,
        decode: Callable[[str, bytes], EndpointEntry],
        telemetry: GatewayTelemetry,
        clock: Clock,
    ) -> None:
        self._roster = roster
        self._decode = decode
        self._telemetry = telemetry
        self._clock = clock

    def topic_listed(self, records: Sequence[KeyedRecord], began_ms: int) -> None:  # noqa: ARG002
        """Take all entries."""
        self._telemetry.store_answered('endpoints')
        entries = [self._read(record) for record in records]
        now_ms = self._clock.now_ms()
        self._roster.apply_all([each for each in entries if each is not None], now_ms)
        self._roster.expire(now_ms)

    def topic_changed(self, records: Sequence[KeyedRecord], began_ms: int) -> None:  # noqa: ARG002
        """Take entries that were written or removed, in their order."""
        self._telemetry.store_answered('endpoints')
        now_ms = self._clock.now_ms()
        for record in records:
            if record.value is None:
                self._telemetry.endpoint_gone(record.key)
                self._roster.remove(record.key, now_ms)
                continue
            entry = self._read(record)
            if entry is not None:
                self._note(entry)
                self._roster.apply(entry)
        self._roster.expire(now_ms)

    def topic_failed(self, error: StoreUnavailableError) -> None:
        """Note that entries may lapse because nobody can write them."""
        self._telemetry.store_failed('endpoints', error)
        self._roster.store_failed(self._clock.now_ms())

    def _read(self, record: KeyedRecord) -> EndpointEntry | None:
        if record.value is None:
            return None
        try:
            return self._decode(record.key, record.value)
        except TranslationError as error:
            self._telemetry.record_unreadable('endpoints', record.key, error)
            return None

    def _note(self, entry: EndpointEntry) -> None:
        known = self._roster.get(entry.endpoint)
        if known is None or known.entry.draining != entry.draining:
            self._telemetry.endpoint_changed(entry)
