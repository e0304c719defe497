"""A customer's limits on one instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from savorychute.clock import MS_PER_S
from savorychute.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    import random

    from savorychute.actions import Action
    from savorychute.contracts.customer_limits import CustomerLimits
    from savorychute.limits.settings import LimitSettings
    from savorychute.membership import MemberView

#: How long to wait for a request in progress to end, when nothing is known.
BUSY_RETRY_MS = 250


class _Use(NamedTuple):
    customer: str
    tokens: int


class CustomerLimiter:
    """Holds each customer to its share of the contract on this instance.

    :param settings: durations and sizes.
    :param instance: this instance's name.
    :param rng: spreads reports over time.
    """

    def __init__(
        self, settings: LimitSettings, instance: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.instance = instance
        self._rng = rng
        self._limits: dict[str, CustomerLimits] = {}
        self._uses: dict[str, _Use] = {}
        self._in_use: dict[str, int] = {}
        self._requests: dict[str, TokenBucket] = {}
        self._tokens: dict[str, TokenBucket] = {}
        self._member_count = 1

    def set_limits(self, limits: dict[str, CustomerLimits]) -> None:
        """Replace the limits of all customers.

        :param limits: by customer.
        """
        self._limits = limits

    def check(self, customer: str, tokens: int, now_ms: int) -> int:
        """Return 0 if a request may start, else when to ask again, in ms.

        :param customer: whose request it is.
        :param tokens: how many it is expected to use.
        :param now_ms: the time.
        """
        limits = self._limits.get(customer)
        if limits is None:
            return self.settings.max_retry_after_ms
        self._refresh(limits, now_ms)
        concurrent = max(1, limits.concurrent_requests // self._member_count)
        if self._in_use.get(customer, 0) >= concurrent:
            return BUSY_RETRY_MS
        wait_ms = max(
            self._requests[customer].wait_ms(1, now_ms),
            self._tokens[customer].wait_ms(tokens, now_ms),
        )
        return math.ceil(min(wait_ms, self.settings.max_retry_after_ms))

    def start(self, customer: str, request_id: str, tokens: int, now_ms: int) -> None:
        """Count a request that starts.

        :param customer: whose request it is.
        :param request_id: the request.
        :param tokens: how many it is expected to use.
        :param now_ms: the time.
        """
        self._uses[request_id] = _Use(customer, tokens)
        self._in_use[customer] = self._in_use.get(customer, 0) + 1
        if customer in self._requests:
            self._requests[customer].spend(1, now_ms)
            self._tokens[customer].spend(tokens, now_ms)

    def finish(self, request_id: str, tokens_used: int, now_ms: int) -> None:
        """Settle a request that has ended.

        :param request_id: the request; an unknown one is ignored.
        :param tokens_used: what it has used in fact.
        :param now_ms: the time.
        """
        use = self._uses.pop(request_id, None)
        if use is None:
            return
        self._in_use[use.customer] -= 1
        if use.customer in self._tokens:
            self._tokens[use.customer].spend(tokens_used - use.tokens, now_ms)

    def receive(
        self,
        sender: str,  # noqa: ARG002
        message: tuple[object, ...],  # noqa: ARG002
        view: MemberView,  # noqa: ARG002
        now_ms: int,  # noqa: ARG002
    ) -> list[Action]:
        """Take in a peer message.

        :param sender: the instance that sent it.
        :param message: the message.
        :param view: who is alive.
        :param now_ms: the time.
        """
        return []

    def tick(self, view: MemberView, now_ms: int) -> list[Action]:  # noqa: ARG002
        """Do what is due.

        :param view: who is alive.
        :param now_ms: the time.
        """
        self._member_count = max(1, len(view.alive))
        return []

    def leave(self, view: MemberView, now_ms: int) -> list[Action]:  # noqa: ARG002
        """Return what is unused, before this instance goes.

        :param view: who is alive.
        :param now_ms: the time.
        """
        return []

    def _refresh(self, limits: CustomerLimits, now_ms: int) -> None:
        """Bring the buckets to this instance's share."""
        customer = limits.customer
        share = 1 / self._member_count
        burst_s = self.settings.burst_ms / MS_PER_S
        for buckets, per_s in (
            (self._requests, limits.requests_per_s),
            (self._tokens, limits.tokens_per_s),
        ):
            capacity = max(1.0, per_s * share * burst_s)
            if customer not in buckets:
                buckets[customer] = TokenBucket(capacity, now_ms)
            buckets[customer].set_rate(per_s * share, capacity, now_ms)
