"""What one organisation uses on one instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.limits.settings import LimitSettings

NEVER_MS = -1
#: How fast the measured rates follow.
RATE_MEMORY_MS = 2_000
#: Demand is asked for with this margin, and grows by it while it is refused.
DEMAND_MARGIN = 1.25
GROWTH_FACTOR = 3
#: A first demand asks for one of this many parts of the contract.
FIRST_ASK_PARTS = 8
#: How long to wait for a request in progress to end, when nothing is known.
BUSY_RETRY_MS = 250
#: A shorter wait is the spacing of requests by their rate, not a lack of units.
REFUSAL_MS = 50
#: How long to wait for a first share.
SHARE_RETRY_MS = 100


class OrganisationMeter:
    """Concurrency, rate and tokens of an organisation against its units here.

    :param limits: of the organisation.
    :param settings: burst and longest wait.
    :param now_ms: the time.
    """

    def __init__(
        self, limits: OrganisationLimits, settings: LimitSettings, now_ms: int
    ) -> None:
        self.limits = limits
        self.settings = settings
        self.in_use = 0
        self.used_ms = NEVER_MS
        self.waiting = 0
        self.was_refused = False
        self._units = 0
        self._requests = TokenBucket(0.0, now_ms)
        self._tokens = TokenBucket(0.0, now_ms)
        self._request_rate = 0.0
        self._token_rate = 0.0
        self._rated_ms = now_ms

    @property
    def total(self) -> int:
        """The units that the organisation's limits are divided into."""
        return max(1, self.limits.concurrent_requests)

    def set_limits(self, limits: OrganisationLimits, now_ms: int) -> None:
        """Follow an amended contract.

        :param limits: of the organisation.
        :param now_ms: the time.
        """
        if limits != self.limits:
            self.limits = limits
            units, self._units = self._units, 0
            self.set_units(units, now_ms)

    def set_units(self, units: int, now_ms: int) -> None:
        """Follow a change of the share.

        A first share comes with one request, or else the first request would
        wait for a slow rate to accrue.

        :param units: of concurrency, and as many parts of rate and tokens.
        :param now_ms: the time.
        """
        if units == self._units:
            return
        is_first = self._units == 0
        self._units = units
        share = units / self.total
        burst_s = self.settings.burst_ms / MS_PER_S
        for bucket, per_s in (
            (self._requests, self.limits.requests_per_s),
            (self._tokens, self.limits.tokens_per_s),
        ):
            capacity = max(1.0, per_s * share * burst_s) if units else 0.0
            bucket.set_rate(per_s * share, capacity, now_ms)
            if is_first and units == self.total:
                bucket.level = max(bucket.level, capacity)
            elif is_first:
                bucket.level = max(bucket.level, 1.0)

    def wait_ms(self, tokens: int, now_ms: int) -> int:
        """Return 0 if a request may start, else when to ask again, in ms.

        :param tokens: how many it is expected to use.
        :param now_ms: the time.
        """
        if self._units == 0:
            wait = SHARE_RETRY_MS
        elif self.in_use >= self._units:
            wait = BUSY_RETRY_MS
        else:
            accrual_ms = max(
                self._requests.wait_ms(1, now_ms), self._tokens.wait_ms(tokens, now_ms)
            )
            wait = math.ceil(min(accrual_ms, self.settings.max_retry_after_ms))
        self.was_refused = self.was_refused or wait >= REFUSAL_MS
        return wait

    def start(self, tokens: int, now_ms: int) -> None:
        """Count a request that starts.

        :param tokens: how many it is expected to use.
        :param now_ms: the time.
        """
        self._decay(now_ms)
        self.in_use += 1
        self.used_ms = now_ms
        self._request_rate += MS_PER_S / RATE_MEMORY_MS
        self._token_rate += tokens * MS_PER_S / RATE_MEMORY_MS
        self._requests.spend(1, now_ms)
        self._tokens.spend(tokens, now_ms)

    def finish(self, tokens: int, tokens_used: int, now_ms: int) -> None:
        """Settle a request that has ended.

        :param tokens: how many it was expected to use.
        :param tokens_used: how many it has used.
        :param now_ms: the time.
        """
        self.in_use -= 1
        self._tokens.spend(tokens_used - tokens, now_ms)

    def wanted(self, now_ms: int) -> int:
        """Return how many units the demand needs.

        :param now_ms: the time.
        """
        self._decay(now_ms)
        by_requests = self._request_rate / max(self.limits.requests_per_s, 1e-9)
        by_tokens = self._token_rate / max(self.limits.tokens_per_s, 1e-9)
        by_rate = DEMAND_MARGIN * max(by_requests, by_tokens) * self.total
        needed = max(self.in_use + self.waiting, math.ceil(by_rate - 0.1))
        if self.was_refused:
            step = max(1, self.total // FIRST_ASK_PARTS)
            guess = GROWTH_FACTOR * self._units + step
            if self.in_use < self._units:
                # What is guessed and not in use takes no more than half: it is
                # lost to all others for a while if this instance dies.
                guess = min(guess, self.total // 2)
            needed = max(needed, guess)
        return min(needed, self.total)

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._rated_ms
        if elapsed_ms > 0:
            factor = math.exp(-elapsed_ms / RATE_MEMORY_MS)
            self._request_rate *= factor
            self._token_rate *= factor
            self._rated_ms = now_ms
