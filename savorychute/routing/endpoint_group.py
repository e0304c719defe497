"""Endpoints that serve the same, and so are comparable."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from savorychute.routing.group_summary import GroupSummary

if TYPE_CHECKING:
    from savorychute.routing.endpoint_state import EndpointState
    from savorychute.routing.routing_settings import RoutingSettings

SUMMARY_LIFETIME_MS = 100
LEARNING_SHARE = 0.1
MIN_PREFILL_TOKENS_PER_STEP = 16.0
MAX_PREFILL_TOKENS_PER_STEP = 65_536.0


class EndpointGroup:
    """What the endpoints of one kind have in common.

    :param settings: the values to start from.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.members: list[EndpointState] = []
        self.prefill_tokens_per_step = settings.prefill_tokens_per_step
        self._own_weight_max = settings.own_weight
        self._summary = GroupSummary(settings.step_ms, 0.0, 1.0)
        self._refresh_at_ms = 0

    def summary(self, now_ms: int) -> GroupSummary:
        """Return figures over all members.

        They are computed at most ten times a second: decisions are more
        frequent.
        """
        if now_ms >= self._refresh_at_ms and self.members:
            self._refresh_at_ms = now_ms + SUMMARY_LIFETIME_MS
            self._summary = self._summarise(now_ms)
        return self._summary

    def _summarise(self, now_ms: int) -> GroupSummary:
        steps = [member.measured_step_ms(now_ms) for member in self.members]
        known = [step_ms for step_ms in steps if step_ms > 0]
        step_ms = median(known) if known else self._summary.median_step_ms
        others = sum(member.others for member in self.members)
        own = sum(member.outstanding for member in self.members)
        weight = min(1 + others / max(own, 1), self._own_weight_max)
        return GroupSummary(step_ms, others / len(self.members), weight)

    def learn_prefill(self, tokens: float, steps: float) -> None:
        """Take note of a prompt that was computed without waiting.

        :param tokens: prompt tokens that had to be computed, others' included.
        :param steps: steps that passed before the first token.
        """
        sample = tokens / max(steps, 1.0)
        learned = self.prefill_tokens_per_step
        learned += LEARNING_SHARE * (sample - learned)
        learned = max(learned, MIN_PREFILL_TOKENS_PER_STEP)
        self.prefill_tokens_per_step = min(learned, MAX_PREFILL_TOKENS_PER_STEP)
