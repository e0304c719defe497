"""One organisation's usage of its limits on one instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    from savorychute.contracts.organisation_limits import OrganisationLimits
    from savorychute.limits.settings import LimitSettings

NEVER_MS = -1
#: Time constant of the exponential decay of the measured rates.
RATE_TIME_CONSTANT_MS = 2_000
#: Margin on the units that the measured rates need.
DEMAND_MARGIN = 1.25
#: While requests are refused, the requested units are the current ones times this
#: factor, plus one of FIRST_REQUEST_DIVISOR equal parts of the contract.
GROWTH_FACTOR = 3
FIRST_REQUEST_DIVISOR = 8
#: Delay before a retry while all units are in use; it is unknown when one becomes free.
BUSY_RETRY_MS = 250
#: A shorter wait is caused by the spacing of requests by their rate, not by a lack of
#: units.
MIN_REFUSAL_WAIT_MS = 50
#: Delay before a retry while the instance has no share yet.
SHARE_RETRY_MS = 100


class OrganisationMeter:
    """Checks concurrency, rate and tokens of an organisation against its local units.

    :param limits: limits of the organisation.
    :param settings: burst duration and longest delay before a retry.
    :param now_ms: the current time.
    """

    def __init__(
        self, limits: OrganisationLimits, settings: LimitSettings, now_ms: int
    ) -> None:
        self.limits = limits
        self.settings = settings
        self.in_use = 0
        self.last_use_ms = NEVER_MS
        self.waiting = 0
        self.was_refused = False
        self._units = 0
        self._requests = TokenBucket(0.0, now_ms)
        self._tokens = TokenBucket(0.0, now_ms)
        self._request_rate = 0.0
        self._token_rate = 0.0
        self._decayed_ms = now_ms

    @property
    def total(self) -> int:
        """The number of units into which the organisation's limits are divided."""
        return max(1, self.limits.concurrent_requests)

    def set_limits(self, limits: OrganisationLimits, now_ms: int) -> None:
        """Apply an amended contract.

        :param limits: new limits of the organisation.
        :param now_ms: the current time.
        """
        if limits != self.limits:
            self.limits = limits
            units, self._units = self._units, 0
            self.set_units(units, now_ms)

    def set_units(self, units: int, now_ms: int) -> None:
        """Apply a change of the share.

        A first share starts with a permit for one request; otherwise the first request
        would wait until a slow rate has accrued one.

        :param units: concurrent requests; the rate and the tokens are granted in
            proportion.
        :param now_ms: the current time.
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
        """Return 0 if a request may start, else the delay before a retry, in ms.

        :param tokens: expected number of tokens.
        :param now_ms: the current time.
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
        self.was_refused = self.was_refused or wait >= MIN_REFUSAL_WAIT_MS
        return wait

    def start(self, tokens: int, now_ms: int) -> None:
        """Count a request that starts.

        :param tokens: expected number of tokens.
        :param now_ms: the current time.
        """
        self._decay_rates(now_ms)
        self.in_use += 1
        self.last_use_ms = now_ms
        self._request_rate += MS_PER_S / RATE_TIME_CONSTANT_MS
        self._token_rate += tokens * MS_PER_S / RATE_TIME_CONSTANT_MS
        self._requests.spend(1, now_ms)
        self._tokens.spend(tokens, now_ms)

    def finish(self, tokens: int, tokens_used: int, now_ms: int) -> None:
        """Settle the token usage of a request that has ended.

        :param tokens: expected number of tokens.
        :param tokens_used: number of tokens that it used.
        :param now_ms: the current time.
        """
        self.in_use -= 1
        self._tokens.spend(tokens_used - tokens, now_ms)

    def wanted(self, now_ms: int) -> int:
        """Return how many units the demand needs.

        :param now_ms: the current time.
        """
        self._decay_rates(now_ms)
        by_requests = self._request_rate / max(self.limits.requests_per_s, 1e-9)
        by_tokens = self._token_rate / max(self.limits.tokens_per_s, 1e-9)
        by_rate = DEMAND_MARGIN * max(by_requests, by_tokens) * self.total
        needed = max(self.in_use + self.waiting, math.ceil(by_rate - 0.1))
        if self.was_refused:
            step = max(1, self.total // FIRST_REQUEST_DIVISOR)
            estimate = GROWTH_FACTOR * self._units + step
            if self.in_use < self._units:
                # Limit an estimated demand to half of the total: if this instance dies,
                # these units are unavailable to all others for a while.
                estimate = min(estimate, self.total // 2)
            needed = max(needed, estimate)
        return min(needed, self.total)

    def _decay_rates(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._decayed_ms
        if elapsed_ms > 0:
            factor = math.exp(-elapsed_ms / RATE_TIME_CONSTANT_MS)
            self._request_rate *= factor
            self._token_rate *= factor
            self._decayed_ms = now_ms
