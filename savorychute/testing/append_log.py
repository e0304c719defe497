"""A stand-in for the platform's append-only log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.inputs.log_record import LogRecord

if TYPE_CHECKING:
    from random import Random

MS_PER_S = 1_000.0


class LogSettings(NamedTuple):
    """Limits and latency of the log service."""

    appends_per_s: float = 300.0
    burst_appends: float = 60.0
    retention_ms: float = 3_600_000.0
    latency_ms: float = 5.0


class AppendResult(NamedTuple):
    """The result of an append.

    ``outcome`` is ``appended``, ``limited``, ``refused`` or ``lost``.  The last
    means that the record is in the log but the reply is not sent.
    """

    outcome: str
    offset: int = -1


class ReadResult(NamedTuple):
    """Records of a stream; ``first_offset`` is the oldest retained offset."""

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
        """Append a record and return its offset."""
        self.payloads.append(payload)
        self.times_ms.append(now_ms)
        return self.end_offset - 1

    def trim(self, oldest_ms: float) -> None:
        """Remove the records that are older than *oldest_ms*."""
        count = 0
        while count < len(self.times_ms) and self.times_ms[count] < oldest_ms:
            count += 1
        if count:
            del self.payloads[:count]
            del self.times_ms[:count]
            self.first_offset += count


class AppendLog:
    """The streams of the log, with injectable faults.

    While ``is_up`` is false, every call is refused.  ``slow_ms`` is added to the
    latency, half of which a host waits before a call and half after it.
    ``lost_reply_share`` is the probability that an append takes effect but its
    reply is lost; ``replies_to_lose`` is the number of next replies that are lost
    in any case.
    """

    def __init__(self, settings: LogSettings, rng: Random) -> None:
        self.settings = settings
        self.is_up = True
        self.slow_ms = 0.0
        self.lost_reply_share = 0.0
        self.replies_to_lose = 0
        self.appends = 0
        self.streams: dict[str, LogStream] = {}
        self._rng = rng
        self._tokens = settings.burst_appends
        self._refilled_ms = 0.0

    @property
    def delay_ms(self) -> float:
        """Return the response time of the service."""
        return self.settings.latency_ms + self.slow_ms

    def append(self, stream: str, payload: bytes, now_ms: float) -> AppendResult:
        """Append a record, unless the service is down or the rate limit is reached."""
        if not self.is_up:
            return AppendResult('refused')
        if not self._acquire_token(now_ms):
            return AppendResult('limited')
        self.appends += 1
        offset = self._stream(stream).append(payload, now_ms)
        return AppendResult('lost' if self._lose_next_reply() else 'appended', offset)

    def read(
        self, stream: str, from_offset: int, max_records: int, now_ms: float
    ) -> ReadResult | None:
        """Return records starting at an offset, or None if the service is down."""
        if not self.is_up:
            return None
        log_stream = self._stream(stream)
        log_stream.trim(now_ms - self.settings.retention_ms)
        start = max(from_offset, log_stream.first_offset)
        stop = min(start + max_records, log_stream.end_offset)
        records = tuple(
            LogRecord(offset, log_stream.payloads[offset - log_stream.first_offset])
            for offset in range(start, stop)
        )
        return ReadResult(records, log_stream.first_offset, log_stream.end_offset)

    def _stream(self, name: str) -> LogStream:
        return self.streams.setdefault(name, LogStream())

    def _acquire_token(self, now_ms: float) -> bool:
        refilled_tokens = (
            (now_ms - self._refilled_ms) * self.settings.appends_per_s / MS_PER_S
        )
        self._tokens = min(self.settings.burst_appends, self._tokens + refilled_tokens)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _lose_next_reply(self) -> bool:
        if self.replies_to_lose > 0:
            self.replies_to_lose -= 1
            return True
        share = self.lost_reply_share
        return share > 0 and self._rng.random() < share
