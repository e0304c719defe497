"""Groups of comparable endpoints, which serve the same models or service."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from savorychute.routing.group_summary import GroupSummary

if TYPE_CHECKING:
    from savorychute.routing.endpoint_state import EndpointState
    from savorychute.routing.routing_settings import RoutingSettings

SUMMARY_LIFETIME_MS = 100
PREFILL_SMOOTHING_SHARE = 0.1
MIN_PREFILL_TOKENS_PER_STEP = 16.0
MAX_PREFILL_TOKENS_PER_STEP = 65_536.0


class EndpointGroup:
    """Endpoints that serve the same models or service, and figures over all of them.

    :param settings: the initial values.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.members: list[EndpointState] = []
        self.prefill_tokens_per_step = settings.prefill_tokens_per_step
        self._max_own_weight = settings.own_weight
        self._summary = GroupSummary(settings.step_ms, 0.0, 1.0)
        self._refresh_at_ms = 0

    def summary(self, now_ms: int) -> GroupSummary:
        """Return the figures over all members.

        They are computed at most ten times a second, because routing decisions
        are more frequent than that.
        """
        if now_ms >= self._refresh_at_ms and self.members:
            self._refresh_at_ms = now_ms + SUMMARY_LIFETIME_MS
            self._summary = self._summarise(now_ms)
        return self._summary

    def _summarise(self, now_ms: int) -> GroupSummary:
        step_times_ms = [member.measured_step_ms(now_ms) for member in self.members]
        known_step_times_ms = [step_ms for step_ms in step_times_ms if step_ms > 0]
        step_ms = (
            median(known_step_times_ms)
            if known_step_times_ms
            else self._summary.median_step_ms
        )
        peer_requests = sum(member.peer_requests for member in self.members)
        own_requests = sum(member.outstanding for member in self.members)
        own_weight = min(1 + peer_requests / max(own_requests, 1), self._max_own_weight)
        return GroupSummary(step_ms, peer_requests / len(self.members), own_weight)

    def record_prefill(self, tokens: float, steps: float) -> None:
        """Record the prefill of a prompt that did not wait for a slot.

        :param tokens: the prompt tokens that had to be computed, including
            those of prompts ahead of it.
        :param steps: the number of steps before the first token.
        """
        sample = tokens / max(steps, 1.0)
        tokens_per_step = self.prefill_tokens_per_step
        tokens_per_step += PREFILL_SMOOTHING_SHARE * (sample - tokens_per_step)
        tokens_per_step = max(tokens_per_step, MIN_PREFILL_TOKENS_PER_STEP)
        self.prefill_tokens_per_step = min(tokens_per_step, MAX_PREFILL_TOKENS_PER_STEP)
