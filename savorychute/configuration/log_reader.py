"""The schedule of reads of the configuration stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.actions.read_records import ReadRecords

if TYPE_CHECKING:
    import random

    from savorychute.configuration.settings import ConfigurationSettings
    from savorychute.inputs.records_read import RecordsRead

CONFIGURATION_STREAM = 'configuration'
JITTER_SHARE = 0.2


class LogReader:
    """Schedules one read at a time, and tracks the state of the log.

    :param settings: intervals and timeouts.
    :param rng: adds jitter, which spreads the reads of many instances over time.
    """

    def __init__(self, settings: ConfigurationSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._sent_ms: int | None = None
        self._due_ms = 0
        self._failed_ms: int | None = None
        self.has_responded = False
        self.first_offset = 0
        self.end_offset = 0

    def is_down(self, now_ms: int) -> bool:
        """Return whether the log failed recently and has not responded since."""
        if self._failed_ms is None:
            return False
        return now_ms - self._failed_ms < self._settings.log_down_ms

    def read_at_once(self, now_ms: int) -> None:
        """Make a read due at once."""
        self._due_ms = min(self._due_ms, now_ms)

    def delay(self, until_ms: int) -> None:
        """Schedule no read before *until_ms*."""
        self._due_ms = max(self._due_ms, until_ms)

    def tick(
        self, from_offset: int, interval_ms: int, now_ms: int
    ) -> list[ReadRecords]:
        """Return a read if one is due.

        :param from_offset: the first offset that is needed.
        :param interval_ms: the interval between this read and the next one.
        """
        if self._sent_ms is not None:
            if now_ms - self._sent_ms < self._settings.read_timeout_ms:
                return []
            self.fail(now_ms)
        # The shorter interval applies as soon as this instance becomes a poller.
        latest_ms = now_ms + round(interval_ms * (1 + JITTER_SHARE))
        self._due_ms = min(self._due_ms, latest_ms)
        if now_ms < self._due_ms:
            return []
        self._sent_ms = now_ms
        self._due_ms = now_ms + self._jitter(interval_ms)
        count = self._settings.max_read_records
        return [ReadRecords(CONFIGURATION_STREAM, from_offset, count)]

    def finish(self, read: RecordsRead, now_ms: int) -> bool:
        """Handle a response to a read.

        :param read: the response.
        :returns: whether the read succeeded.
        """
        self._sent_ms = None
        if not read.ok:
            self.fail(now_ms)
            return False
        self.has_responded = True
        self._failed_ms = None
        self.first_offset = max(self.first_offset, read.first_offset)
        self.end_offset = max(self.end_offset, read.end_offset)
        return True

    def fail(self, now_ms: int) -> None:
        """Record that the log did not respond, or refused an append."""
        self._sent_ms = None
        self._failed_ms = now_ms

    def _jitter(self, interval_ms: int) -> int:
        max_jitter_ms = interval_ms * JITTER_SHARE
        return round(interval_ms + self._rng.uniform(-max_jitter_ms, max_jitter_ms))
