"""Endpoints that serve the same, and so are comparable."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

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
        self._median_step_ms = settings.step_ms
        self._mean_others = 0.0
        self._own_weight = 1.0
        self._own_weight_max = settings.own_weight
        self._refresh_at_ms = 0

    def median_step_ms(self, now_ms: int) -> float:
        """Return the median of the members' measured step times, in ms.

        It is computed at most ten times a second: decisions are more frequent.
        """
        self._refresh(now_ms)
        return self._median_step_ms

    def _refresh(self, now_ms: int) -> None:
        if now_ms < self._refresh_at_ms:
            return
        self._refresh_at_ms = now_ms + SUMMARY_LIFETIME_MS
        steps = [member.measured_step_ms(now_ms) for member in self.members]
        known = [step_ms for step_ms in steps if step_ms > 0]
        if known:
            self._median_step_ms = median(known)
        if self.members:
            others = sum(member.others for member in self.members)
            own = sum(member.outstanding for member in self.members)
            self._mean_others = others / len(self.members)
            weight = 1 + others / max(own, 1)
            self._own_weight = min(weight, self._own_weight_max)

    def mean_others(self, now_ms: int) -> float:
        """Return the members' mean load by other instances, in requests."""
        self._refresh(now_ms)
        return self._mean_others

    def own_weight(self, now_ms: int) -> float:
        """Return what an own request counts against one of a report.

        The other instances cannot see it and behave alike: where this instance
        has one request more than elsewhere, each of the others is likely to
        have so too before the next report.  Alone, an instance counts 1.
        """
        self._refresh(now_ms)
        return self._own_weight

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
