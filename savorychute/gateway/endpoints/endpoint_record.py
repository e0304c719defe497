"""State of one endpoint, as known to one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import xxhash

from savorychute.gateway.endpoints.endpoint_health import EndpointHealth
from savorychute.gateway.requests.rank import LEAST_URGENT_RANK

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad

# Age of the data in a report when the report is made.
REPORT_LAG_MS = 200
# Maximum age of a report that shows a queue; the queue may be gone later.
QUEUE_REPORT_MS = 150


class _SentAttempt(NamedTuple):
    sent_ms: int
    tokens: int
    rank: int


class EndpointAttempt(Protocol):
    """An attempt in progress at an endpoint."""

    def endpoint_run_ended(self) -> None:
        """Handle the end of the endpoint's run."""
        ...

    def endpoint_path_lost(self) -> None:
        """Handle that direct connections to the endpoint hang."""
        ...

    def crash_verdict_changed(self) -> None:
        """Handle that requests which crash endpoints are known better."""
        ...


class EndpointRecord:
    """An endpoint's entry, health and last report, and this instance's requests there.

    ``hash_key`` and ``partition_key`` rank the endpoint by its name, identically on all
    instances.  Endpoints that are not reclaimable rank first, as the first ones serve
    latency-sensitive streams.

    :param entry: the entry that the platform lists.
    """

    __slots__ = (
        '_attempts',
        '_prefilling',
        '_sensitive',
        'entry',
        'has_ended_large',
        'hash_key',
        'health',
        'large_responses',
        'last_contact_ms',
        'load',
        'missing_until_ms',
        'outstanding',
        'partition_key',
        'report_received_ms',
        'run_ended',
    )

    def __init__(self, entry: EndpointEntry) -> None:
        self.entry = entry
        self.hash_key = entry.endpoint.encode()
        name_key = int(xxhash.xxh3_64_intdigest(self.hash_key))
        self.partition_key = (not entry.reclaimable, name_key)
        self.health = EndpointHealth()
        self.last_contact_ms = 0
        self.load: EngineLoad | None = None
        self.report_received_ms = 0
        self.outstanding = 0
        # Responses in progress that are too large to be held, and whether one has ended.
        self.large_responses = 0
        self.has_ended_large = False
        self.run_ended = False
        self.missing_until_ms: int | None = None
        self._prefilling: dict[EndpointAttempt, _SentAttempt] = {}
        self._attempts: dict[EndpointAttempt, _SentAttempt] = {}
        self._sensitive: set[EndpointAttempt] = set()

    def start_attempt(
        self,
        attempt: EndpointAttempt,
        prompt_tokens: int,
        now_ms: int,
        *,
        rank: int = 0,
        latency_sensitive: bool = False,
    ) -> None:
        """Count a request that is sent to the endpoint.

        :param attempt: identifies the request.
        :param prompt_tokens: tokens that it is expected to prefill.
        :param now_ms: the current time.
        :param rank: its urgency, 0 first.
        :param latency_sensitive: whether it is a stream that would miss its gap target
            beside long prompts.
        """
        self.outstanding += 1
        sent = _SentAttempt(now_ms, prompt_tokens, rank)
        self._attempts[attempt] = sent
        self._prefilling[attempt] = sent
        if latency_sensitive:
            self._sensitive.add(attempt)

    @property
    def may_be_endless(self) -> bool:
        """Whether it sends a large response, and has never ended one."""
        return self.large_responses > 0 and not self.has_ended_large

    def end_prefill(self, attempt: EndpointAttempt) -> None:
        """Record that a request started to generate, or ended."""
        self._prefilling.pop(attempt, None)

    def end_attempt(self, attempt: EndpointAttempt) -> None:
        """Record that a request has ended at the endpoint."""
        self.end_prefill(attempt)
        self._attempts.pop(attempt, None)
        self._sensitive.discard(attempt)
        self.outstanding -= 1

    @property
    def sensitive_streams(self) -> int:
        """Number of this instance's latency-sensitive streams at the endpoint."""
        return len(self._sensitive)

    def end_run(self) -> None:
        """Record that the endpoint has restarted, and notify the attempts in progress.

        The connection to a run that lost power stays open, and probes of the address
        reach the new run; without notification, callers would wait until their
        deadline.
        """
        self.run_ended = True
        for attempt in tuple(self._attempts):
            attempt.endpoint_run_ended()

    def notify_path_lost(self) -> None:
        """Notify the attempts in progress that direct connections hang."""
        for attempt in tuple(self._attempts):
            attempt.endpoint_path_lost()

    def notify_verdict(self) -> None:
        """Notify the attempts in progress that a verdict on requests has changed."""
        for attempt in tuple(self._attempts):
            attempt.crash_verdict_changed()

    def apply_report(self, load: EngineLoad, now_ms: int) -> None:
        """Store a load report.

        :param load: the reported load.
        :param now_ms: the current time.
        """
        self.load = load
        self.report_received_ms = now_ms
        self.last_contact_ms = now_ms

    def load_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the last report, or None if there is none."""
        return now_ms - self.report_received_ms if self.load is not None else None

    def has_queue(self, now_ms: int) -> bool:
        """Return whether prompts are known to wait at the engine at present.

        :param now_ms: the current time.
        """
        load = self.load
        if load is None or now_ms - self.report_received_ms > QUEUE_REPORT_MS:
            return False
        return load.waiting > 0

    def pending_prefill_tokens(self, rank: int = LEAST_URGENT_RANK) -> int:
        """Return the tokens that this instance's requests still have to prefill there.

        :param rank: count only requests that are at least as urgent.
        """
        return sum(
            each.tokens for each in self._prefilling.values() if each.rank <= rank
        )

    def unreported_prefill_tokens(self, rank: int = LEAST_URGENT_RANK) -> int:
        """Return the tokens still to prefill that the last report cannot include yet.

        :param rank: count only requests that are at least as urgent.
        """
        uncounted_since_ms = self.report_received_ms - REPORT_LAG_MS
        return sum(
            each.tokens
            for each in self._prefilling.values()
            if each.rank <= rank and each.sent_ms >= uncounted_since_ms
        )

    def unreported_requests(self, rank: int = LEAST_URGENT_RANK) -> int:
        """Return the number of requests that the last report cannot include yet.

        Requests that started to generate since then are counted as well.

        :param rank: count only requests that are at least as urgent.
        """
        uncounted_since_ms = self.report_received_ms - REPORT_LAG_MS
        return sum(
            each.rank <= rank and each.sent_ms >= uncounted_since_ms
            for each in self._attempts.values()
        )
