"""What is known of one endpoint."""

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

GAP_SHARE = 0.2
HOLDING_SHARE = 0.1
NEVER_MS = -1


class EndpointState:
    """Load, speed and cache of one endpoint, as this instance sees them.

    ``outstanding`` counts this instance's requests there, ``others`` those of
    the other instances as of the last report, ``backlog_tokens`` the prompt
    tokens of own requests that wait for their first token.

    :param settings: the values to start from.
    :param document: the endpoint, as operators entered it.
    :param group: the endpoints that serve the same.
    :param distance_ms: the time to it, one way.
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
        'loaded',
        'next_poll_ms',
        'others',
        'output_tokens',
        'prefixes',
        'reported_state',
        'round_trip_ms',
        'service_ms',
        'used_ms',
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
        self.others = 0.0
        self.backlog_tokens = 0.0
        self.decoding = 0
        self.output_tokens = settings.output_tokens
        self.service_ms = settings.service_ms
        self.prefixes = PrefixView(prefix_entries, settings.prefix_lifetime_ms)
        self.cache_cursor = 0
        self.reported_state = ''
        self.loaded: frozenset[str] | None = None
        self.next_poll_ms = 0
        self.used_ms = NEVER_MS
        self._gap_ms = 0.0
        self._gap_at_ms = NEVER_MS
        self._tokens_per_chunk = 1.0
        self._last_progress_ms = NEVER_MS
        self._report_at_ms = NEVER_MS
        self._report_step_ms = 0.0

    @property
    def outstanding(self) -> int:
        """How many requests of this instance are in progress there."""
        return len(self.attempts)

    @property
    def load(self) -> float:
        """How many requests are in progress there, over all instances."""
        return len(self.attempts) + self.others

    def holding_ms(self, step_ms: float) -> float:
        """Return how long a request keeps its place, in ms.

        :param step_ms: the endpoint's present time per step.
        """
        if self.is_service:
            return self.service_ms
        return self.output_tokens * step_ms

    def estimate_others(self, holding_ms: float, now_ms: int) -> tuple[float, float]:
        """Return the other instances' requests there now: mean and variance.

        The other instances see the same report and act on it: an endpoint
        that stands out by a standard deviation of its load, ``sqrt(mean)``, is
        levelled as soon as so many requests have arrived, which takes
        ``holding / sqrt(mean)`` by Little's law.  So a report fades into the
        peers' mean at that rate (after Dahlin, Interpreting stale load
        information, 1999), and what is uncertain of it grows.

        :param holding_ms: how long a request keeps its place.
        """
        mean = self.group.summary(now_ms).mean_others
        if self._report_at_ms == NEVER_MS:
            return mean, 1 + mean
        age_ms = now_ms - self._report_at_ms
        remain = exp(-age_ms * sqrt(max(1.0, mean)) / max(1.0, holding_ms))
        others = mean + (self.others - mean) * remain
        return others, 1 + others * (1 - remain * remain)

    def take_report(self, report: LoadReported, now_ms: int) -> None:
        """Take in a load report, which is as old as it says.

        The report counts the requests of all instances at some time ago.  Own
        requests of that time are taken off, so that what remains is the others'
        load; own requests of now are added wherever load is asked for.  Without
        this, all requests of the time since the report would go to the endpoint
        that was idle then.
        """
        measured_ms = now_ms - max(0, report.age_ms)
        if measured_ms < self._report_at_ms:
            return
        self._report_at_ms = measured_ms
        own_then = self._count_own(measured_ms)
        self.others = max(0.0, report.running + report.waiting - own_then)
        self._report_step_ms = report.step_ms
        self.reported_state = report.state
        if report.models:
            self.loaded = frozenset(report.models)
        self._take_cache_events(report, now_ms)

    def _count_own(self, at_ms: int) -> int:
        # A request needs one way to get there before the endpoint counts it.
        reached_ms = at_ms - self.distance_ms
        count = 0
        for attempt in self.attempts.values():
            if attempt.started_ms <= reached_ms:
                count += 1
        for started_ms, finished_ms in self._finished:
            if started_ms <= reached_ms and finished_ms - self.distance_ms > at_ms:
                count += 1
        return count

    def _take_cache_events(self, report: LoadReported, now_ms: int) -> None:
        if report.cache_gap or report.cache_sequence < self.cache_cursor:
            # Events are lost, or the endpoint began anew with an empty cache.
            self.prefixes.clear()
        self.prefixes.add(report.cached, now_ms)
        self.prefixes.discard(report.evicted)
        self.cache_cursor = report.cache_sequence

    def uncached_tokens(
        self, prompt_tokens: int, prefix_hashes: tuple[int, ...], now_ms: int
    ) -> float:
        """Return how much of a prompt the endpoint has to compute, in tokens.

        :param prompt_tokens: the prompt's length.
        :param prefix_hashes: the prompt's hash chain.
        """
        if not prefix_hashes:
            return prompt_tokens
        blocks = self.prefixes.overlap(prefix_hashes, now_ms)
        cached = blocks * self._settings.prefix_block_tokens
        return max(1, prompt_tokens - cached)

    def adopt(self, attempt: OutstandingAttempt) -> None:
        """Count an attempt that started before the endpoint was amended."""
        self.attempts[attempt.attempt_id] = attempt
        if attempt.last_token_ms == NEVER_MS:
            self.backlog_tokens += attempt.uncached_tokens
        else:
            self.decoding += 1
            self._last_progress_ms = max(self._last_progress_ms, attempt.last_token_ms)

    def start(self, attempt: OutstandingAttempt, now_ms: int) -> None:
        """Count a request that is being sent there."""
        self.attempts[attempt.attempt_id] = attempt
        self.backlog_tokens += attempt.uncached_tokens
        self.used_ms = now_ms

    def progress(
        self, attempt: OutstandingAttempt, token_count: int, now_ms: int
    ) -> None:
        """Take note of tokens that arrived from there."""
        if attempt.last_token_ms == NEVER_MS:
            self._take_first_token(attempt, now_ms)
        elif token_count > 0:
            gap_ms = (now_ms - attempt.last_token_ms) / token_count
            self._take_gap(gap_ms, token_count, now_ms)
        attempt.last_token_ms = now_ms
        attempt.tokens += token_count
        self._last_progress_ms = now_ms

    def _take_first_token(self, attempt: OutstandingAttempt, now_ms: int) -> None:
        self.decoding += 1
        self._drop_backlog(attempt)
        if self.is_service or attempt.waited:
            return
        elapsed_ms = now_ms - attempt.started_ms - self.round_trip_ms
        step_ms = self.estimate_step_ms(now_ms)
        self.group.learn_prefill(attempt.prefill_tokens, elapsed_ms / step_ms - 1)

    def _take_gap(self, gap_ms: float, token_count: int, now_ms: int) -> None:
        if self._gap_at_ms == NEVER_MS:
            self._gap_ms = gap_ms
        self._gap_ms += GAP_SHARE * (gap_ms - self._gap_ms)
        self._gap_at_ms = now_ms
        self._tokens_per_chunk += GAP_SHARE * (token_count - self._tokens_per_chunk)

    def _drop_backlog(self, attempt: OutstandingAttempt) -> None:
        self.backlog_tokens = max(0.0, self.backlog_tokens - attempt.uncached_tokens)

    def finish(self, attempt: OutstandingAttempt, ok: bool, now_ms: int) -> None:
        """Stop counting a request.

        :param ok: whether the answer came whole.
        """
        del self.attempts[attempt.attempt_id]
        if attempt.last_token_ms == NEVER_MS:
            self._drop_backlog(attempt)
        else:
            self.decoding -= 1
        self._finished.append((attempt.started_ms, now_ms))
        if not ok:
            return
        duration_ms = now_ms - attempt.started_ms - self.round_trip_ms
        self.service_ms += HOLDING_SHARE * (duration_ms - self.service_ms)
        self.output_tokens += HOLDING_SHARE * (attempt.tokens - self.output_tokens)

    def measured_step_ms(self, now_ms: int) -> float:
        """Return the time per step, by tokens seen or by report; 0 if unknown.

        Own observation goes before an older report.  While requests decode
        there, the time since the last token of any of them bounds the step from
        below: an endpoint that has just become slow shows so before its next
        token arrives, and long before its next report.
        """
        step_ms = 0.0
        oldest_ms = now_ms - self._settings.observation_lifetime_ms
        if self._gap_at_ms >= self._report_at_ms and self._gap_at_ms >= oldest_ms:
            step_ms = self._gap_ms
        elif self._report_at_ms != NEVER_MS:
            step_ms = self._report_step_ms
        if self.decoding > 0:
            silence_ms = (now_ms - self._last_progress_ms) / self._tokens_per_chunk
            if silence_ms > step_ms:
                return silence_ms
        return step_ms

    def estimate_step_ms(self, now_ms: int) -> float:
        """Return the time per step in ms, the peers' median if unknown."""
        step_ms = self.measured_step_ms(now_ms)
        if step_ms > 0:
            return step_ms
        return self.group.summary(now_ms).median_step_ms

    def is_straggler(self, now_ms: int) -> bool:
        """Return whether its steps take much longer than its peers'."""
        step_ms = self.measured_step_ms(now_ms)
        ratio = self._settings.straggler_ratio
        return step_ms > ratio * self.group.summary(now_ms).median_step_ms
