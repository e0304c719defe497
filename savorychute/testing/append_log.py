"""A stand-in for the platform's append-only log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.inputs.log_record import LogRecord

if TYPE_CHECKING:
    from random import Random

MS_PER_S = 1_000.0


class LogSettings(NamedTuple):
    """What the log service can do."""

    appends_per_s: float = 300.0
    burst_appends: float = 60.0
    retention_ms: float = 3_600_000.0
    latency_ms: float = 5.0


class AppendAnswer(NamedTuple):
    """What happened to an append.

    ``outcome`` is ``appended``, ``limited``, ``refused``, or ``lost``: the
    record is in the log and the reply is not sent.
    """

    outcome: str
    offset: int = -1


class ReadAnswer(NamedTuple):
    """Records of a stream; ``first_offset`` is the oldest that is kept."""

    records: tuple[LogRecord, ...]
    first_offset: int
    end_offset: int


class LogStream:
    """The records of one stream, oldest first."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.payloads: list[bytes] = []
        self.times_ms: list[float] = []

    @property
    def end_offset(self) -> int:
        """Return the offset of the next append."""
        return self.first_offset + len(self.payloads)

    def append(self, payload: bytes, now_ms: float) -> int:
        """Add a record and return its offset."""
        self.payloads.append(payload)
        self.times_ms.append(now_ms)
        return self.end_offset - 1

    def trim(self, oldest_ms: float) -> None:
        """Drop the records from before *oldest_ms*."""
        count = 0
        while count < len(self.times_ms) and self.times_ms[count] < oldest_ms:
            count += 1
        if count:
            del self.payloads[:count]
            del self.times_ms[:count]
            self.first_offset += count


class AppendLog:
    """The log's streams and its faults.

    ``is_up`` false refuses everything.  ``slow_ms`` is added to the latency
    that a host waits before and after; ``lost_reply_share`` is the chance that
    an append takes effect and its reply is lost; ``lose_replies`` loses that
    many replies for certain.
    """

    def __init__(self, settings: LogSettings, rng: Random) -> None:
        self.settings = settings
        self.is_up = True
        self.slow_ms = 0.0
        self.lost_reply_share = 0.0
        self.lose_replies = 0
        self.appends = 0
        self.streams: dict[str, LogStream] = {}
        self._rng = rng
        self._tokens = settings.burst_appends
        self._filled_ms = 0.0

    @property
    def delay_ms(self) -> float:
        """Return how long the service takes to answer."""
        return self.settings.latency_ms + self.slow_ms

    def append(self, stream: str, payload: bytes, now_ms: float) -> AppendAnswer:
        """Append a record, unless the service is down or its rate is used up."""
        if not self.is_up:
            return AppendAnswer('refused')
        if not self._take_token(now_ms):
            return AppendAnswer('limited')
        self.appends += 1
        offset = self._stream(stream).append(payload, now_ms)
        return AppendAnswer('lost' if self._loses_reply() else 'appended', offset)

    def read(
        self, stream: str, from_offset: int, max_records: int, now_ms: float
    ) -> ReadAnswer | None:
        """Return records from an offset on, or nothing if the service is down."""
        if not self.is_up:
            return None
        kept = self._stream(stream)
        kept.trim(now_ms - self.settings.retention_ms)
        start = max(from_offset, kept.first_offset)
        stop = min(start + max_records, kept.end_offset)
        records = tuple(
            LogRecord(offset, kept.payloads[offset - kept.first_offset])
            for offset in range(start, stop)
        )
        return ReadAnswer(records, kept.first_offset, kept.end_offset)

    def _stream(self, name: str) -> LogStream:
        return self.streams.setdefault(name, LogStream())

    def _take_token(self, now_ms: float) -> bool:
        gained = (now_ms - self._filled_ms) * self.settings.appends_per_s / MS_PER_S
        self._tokens = min(self.settings.burst_appends, self._tokens + gained)
        self._filled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _loses_reply(self) -> bool:
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return True
        share = self.lost_reply_share
        return share > 0 and self._rng.random() < share
