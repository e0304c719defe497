"""The state of one endpoint, as this instance knows it."""

from __future__ import annotations

from collections import deque
from math import exp, sqrt
from typing import TYPE_CHECKING

from savorychute.routing.prefix_view import PrefixView

if TYPE_CHECKING:
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.inputs.load_reported import LoadReported
    from savorychute.routing.endpoint_group import EndpointGroup
    from savorychute.routing.outstanding_attempt import OutstandingAttempt
    from savorychute.routing.routing_settings import RoutingSettings

GAP_SMOOTHING_SHARE = 0.2
HOLDING_SMOOTHING_SHARE = 0.1
NEVER_MS = -1


class EndpointState:
    """Load, speed and cache of one endpoint, as this instance knows them.

    ``outstanding`` counts the requests of this instance at the endpoint,
    ``peer_requests`` those of the other instances as of the last report, and
    ``backlog_tokens`` the prompt tokens of own requests that wait for their
    first token.

    :param settings: the initial values.
    :param document: the endpoint, as operators entered it.
    :param group: the endpoints that serve the same models or service.
    :param distance_ms: the one-way latency to the endpoint.
    :param prefix_entries: the maximum number of prefix hashes to remember.
    """

    __slots__ = (
        '_finished',
        '_gap_at_ms',
        '_gap_ms',
        '_last_progress_ms',
        '_report_at_ms',
        '_report_step_ms',
        '_settings',
        '_tokens_per_chunk',
        'attempts',
        'backlog_tokens',
        'cache_cursor',
        'capacity',
        'decoding',
        'distance_ms',
        'document',
        'group',
        'is_service',
        'last_used_ms',
        'loaded',
        'next_poll_ms',
        'output_tokens',
        'peer_requests',
        'prefixes',
        'reported_state',
        'round_trip_ms',
        'service_ms',
    )

    def __init__(
        self,
        settings: RoutingSettings,
        document: EndpointDocument,
        group: EndpointGroup,
        distance_ms: float,
        prefix_entries: int,
    ) -> None:
        self._settings = settings
        self.document = document
        self.group = group
        self.distance_ms = distance_ms
        self.round_trip_ms = 2 * distance_ms
        self.capacity = max(1, document['concurrent_requests'])
        self.is_service = bool(document.get('service'))
        self.attempts: dict[str, OutstandingAttempt] = {}
        self._finished: deque[tuple[int, int]] = deque(maxlen=settings.history_attempts)
        self.peer_requests = 0.0
        self.backlog_tokens = 0.0
        self.decoding = 0
        self.output_tokens = settings.output_tokens
        self.service_ms = settings.service_ms
        self.prefixes = PrefixView(prefix_entries, settings.prefix_lifetime_ms)
        self.cache_cursor = 0
        self.reported_state = ''
        self.loaded: frozenset[str] | None = None
        self.next_poll_ms = 0
        self.last_used_ms = NEVER_MS
        self._gap_ms = 0.0
        self._gap_at_ms = NEVER_MS
        self._tokens_per_chunk = 1.0
        self._last_progress_ms = NEVER_MS
        self._report_at_ms = NEVER_MS
        self._report_step_ms = 0.0

    @property
    def outstanding(self) -> int:
        """The number of requests of this instance in progress there."""
        return len(self.attempts)

    @property
    def load(self) -> float:
        """The number of requests in progress there, over all instances."""
        return len(self.attempts) + self.peer_requests

    def holding_ms(self, step_ms: float) -> float:
        """Return how long a request occupies its slot, in ms.

        :param step_ms: the current time per step of the endpoint.
        """
        if self.is_service:
            return self.service_ms
        return self.output_tokens * step_ms

    def estimate_peer_requests(
        self, holding_ms: float, now_ms: int
    ) -> tuple[float, float]:
        """Estimate the current requests of other instances: mean and variance.

        The other instances act on the same report.  An endpoint whose load
        deviates by one standard deviation, ``sqrt(mean)``, is balanced again as
        soon as that many requests have arrived, which takes
        ``holding / sqrt(mean)`` by Little's law.  The reported load therefore
        decays towards the mean of the group at that rate (after Dahlin,
        Interpreting stale load information, 1999), while its uncertainty grows.

        :param holding_ms: how long a request occupies its slot.
        """
        mean = self.group.summary(now_ms).mean_peer_requests
        if self._report_at_ms == NEVER_MS:
            return mean, 1 + mean
        age_ms = now_ms - self._report_at_ms
        remaining_share = exp(-age_ms * sqrt(max(1.0, mean)) / max(1.0, holding_ms))
        peer_requests = mean + (self.peer_requests - mean) * remaining_share
        return peer_requests, 1 + peer_requests * (
            1 - remaining_share * remaining_share
        )

    def apply_report(self, report: LoadReported, now_ms: int) -> None:
        """Apply a load report, which may be stale by the age that it states.

        The report counts the requests of all instances at the time of its
        measurement.  The own requests of that time are subtracted, so that the
        load of the other instances remains; the current own requests are added
        wherever the load is used.  Otherwise all requests after the measurement
        would go to the endpoint that was idle then.
        """
        measured_ms = now_ms - max(0, report.age_ms)
        if measured_ms < self._report_at_ms:
            return
        self._report_at_ms = measured_ms
        own_requests = self._count_own(measured_ms)
        self.peer_requests = max(0.0, report.running + report.waiting - own_requests)
        self._report_step_ms = report.step_ms
        self.reported_state = report.state
        if report.models:
            self.loaded = frozenset(report.models)
        self._apply_cache_events(report, now_ms)

    def _count_own(self, at_ms: int) -> int:
        # The endpoint counts a request only after it has arrived, which takes
        # the one-way latency.
        sent_before_ms = at_ms - self.distance_ms
        count = 0
        for attempt in self.attempts.values():
            if attempt.started_ms <= sent_before_ms:
                count += 1
        for started_ms, finished_ms in self._finished:
            if started_ms <= sent_before_ms and finished_ms - self.distance_ms > at_ms:
                count += 1
        return count

    def _apply_cache_events(self, report: LoadReported, now_ms: int) -> None:
        if report.cache_gap or report.cache_sequence < self.cache_cursor:
            # Events were lost, or the endpoint restarted with an empty cache.
            self.prefixes.clear()
        self.prefixes.add(report.cached, now_ms)
        self.prefixes.discard(report.evicted)
        self.cache_cursor = report.cache_sequence

    def uncached_tokens(
        self, prompt_tokens: int, prefix_hashes: tuple[int, ...], now_ms: int
    ) -> float:
        """Return how many tokens of a prompt the endpoint has to compute.

        :param prompt_tokens: the length of the prompt.
        :param prefix_hashes: the hash chain of the prompt.
        """
        if not prefix_hashes:
            return prompt_tokens
        blocks = self.prefixes.count_cached_blocks(prefix_hashes, now_ms)
        cached = blocks * self._settings.prefix_block_tokens
        return max(1, prompt_tokens - cached)

    def adopt(self, attempt: OutstandingAttempt) -> None:
        """Count an attempt that started before the endpoint's document changed."""
        self.attempts[attempt.attempt_id] = attempt
        if attempt.last_token_ms == NEVER_MS:
            self.backlog_tokens += attempt.uncached_tokens
        else:
            self.decoding += 1
            self._last_progress_ms = max(self._last_progress_ms, attempt.last_token_ms)

    def record_start(self, attempt: OutstandingAttempt, now_ms: int) -> None:
        """Count an attempt that is being sent there."""
        self.attempts[attempt.attempt_id] = attempt
        self.backlog_tokens += attempt.uncached_tokens
        self.last_used_ms = now_ms

    def record_progress(
        self, attempt: OutstandingAttempt, token_count: int, now_ms: int
    ) -> None:
        """Record tokens that arrived from there."""
        if attempt.last_token_ms == NEVER_MS:
            self._record_first_token(attempt, now_ms)
        elif token_count > 0:
            gap_ms = (now_ms - attempt.last_token_ms) / token_count
            self._record_gap(gap_ms, token_count, now_ms)
        attempt.last_token_ms = now_ms
        attempt.tokens += token_count
        self._last_progress_ms = now_ms

    def _record_first_token(self, attempt: OutstandingAttempt, now_ms: int) -> None:
        self.decoding += 1
        self._subtract_backlog(attempt)
        if self.is_service or attempt.had_to_wait:
            return
        elapsed_ms = now_ms - attempt.started_ms - self.round_trip_ms
        step_ms = self.estimate_step_ms(now_ms)
        self.group.record_prefill(attempt.prefill_tokens, elapsed_ms / step_ms - 1)

    def _record_gap(self, gap_ms: float, token_count: int, now_ms: int) -> None:
        if self._gap_at_ms == NEVER_MS:
            self._gap_ms = gap_ms
        self._gap_ms += GAP_SMOOTHING_SHARE * (gap_ms - self._gap_ms)
        self._gap_at_ms = now_ms
        self._tokens_per_chunk += GAP_SMOOTHING_SHARE * (
            token_count - self._tokens_per_chunk
        )

    def _subtract_backlog(self, attempt: OutstandingAttempt) -> None:
        self.backlog_tokens = max(0.0, self.backlog_tokens - attempt.uncached_tokens)

    def record_finish(self, attempt: OutstandingAttempt, ok: bool, now_ms: int) -> None:
        """Stop counting an attempt.

        :param ok: whether the answer was complete.
        """
        del self.attempts[attempt.attempt_id]
        if attempt.last_token_ms == NEVER_MS:
            self._subtract_backlog(attempt)
        else:
            self.decoding -= 1
        self._finished.append((attempt.started_ms, now_ms))
        if not ok:
            return
        duration_ms = now_ms - attempt.started_ms - self.round_trip_ms
        self.service_ms += HOLDING_SMOOTHING_SHARE * (duration_ms - self.service_ms)
        self.output_tokens += HOLDING_SMOOTHING_SHARE * (
            attempt.tokens - self.output_tokens
        )

    def measured_step_ms(self, now_ms: int) -> float:
        """Return the time per step, as observed or reported; 0 if unknown.

        Own observations take precedence over an older report.  While requests
        decode there, the time since the last token of any of them is a lower
        bound of the step time.  This detects an endpoint that has just become
        slow before its next token arrives, and long before its next report.
        """
        step_ms = 0.0
        oldest_valid_ms = now_ms - self._settings.observation_lifetime_ms
        if self._gap_at_ms >= self._report_at_ms and self._gap_at_ms >= oldest_valid_ms:
            step_ms = self._gap_ms
        elif self._report_at_ms != NEVER_MS:
            step_ms = self._report_step_ms
        if self.decoding > 0:
            tokenless_ms = (now_ms - self._last_progress_ms) / self._tokens_per_chunk
            if tokenless_ms > step_ms:
                return tokenless_ms
        return step_ms

    def estimate_step_ms(self, now_ms: int) -> float:
        """Return the time per step in ms, or the median of its group if unknown."""
        step_ms = self.measured_step_ms(now_ms)
        if step_ms > 0:
            return step_ms
        return self.group.summary(now_ms).median_step_ms

    def is_straggler(self, now_ms: int) -> bool:
        """Return whether its steps take much longer than the median of its group."""
        step_ms = self.measured_step_ms(now_ms)
        ratio = self._settings.straggler_ratio
        return step_ms > ratio * self.group.summary(now_ms).median_step_ms
