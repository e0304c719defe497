"""Endpoints that state limits, leave or send Retry-After, and a check of calls."""

from __future__ import annotations

import asyncio
from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from benches.gateway_soak.endpoint import SoakEndpoint
    from benches.gateway_soak.site import Site

MAX_STATEMENT_GAP_S = 1.0
# A limit holds within any span of this length, from NOTICE_S after its first statement.
SPAN_S = 4.0
NOTICE_S = 3.0
LIMITS_PER_S = (1, 3, 10, 30)
LIMIT_DURATION_S = 9.0
# After the first response that announces leaving, no new request may arrive after
# NOTICE_S and this.
DRAIN_S = 2.0
LEAVE_DURATION_S = 4.0
BACKOFF_S = 2.0
PROPAGATION_S = 0.5
# Approximate maximum duration of a fault; one that started before a span may reach
# into it.
MAX_FAULT_S = 4.0
# Per instance: the refused call, and those that the caller rule permits in addition.
MAX_BACKOFF_CALLS = 3


class Statement(NamedTuple):
    """A statement of an endpoint and the period in which it applied."""

    kind: str
    endpoint: SoakEndpoint
    name: str
    from_s: float
    until_s: float
    limit_per_s: float = 0.0


class StatementChecker:
    """Lets endpoints make statements and checks the calls that they get.

    A gateway that starts, ends, is suspended or resumed, or can't reach the endpoint,
    does not know what it stated, so only times without such an event are checked.

    :param site: contains the endpoints.
    :param rng: random numbers for all choices.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._statements: list[Statement] = []

    async def run(self) -> None:
        """Let endpoints make statements until the task is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(self._rng.random() * MAX_STATEMENT_GAP_S)
                endpoint = self._rng.choice(self._site.endpoints)
                if endpoint.stated_headers or endpoint.drain_started_s is not None:
                    continue
                make_statement = self._rng.choice(
                    [self._state_limit, self._state_leaving, self._state_backoff]
                )
                tasks.create_task(make_statement(endpoint))

    async def _state_limit(self, endpoint: SoakEndpoint) -> None:
        limit_per_s = self._rng.choice(LIMITS_PER_S)
        endpoint.stated_headers = (('server-limit', str(limit_per_s)),)
        await self._hold_statement('limit', endpoint, LIMIT_DURATION_S, limit_per_s)

    async def _state_leaving(self, endpoint: SoakEndpoint) -> None:
        """Announce leaving in responses only; the entry stays ready."""
        await self._site.add_endpoint(endpoint.service)
        endpoint.stated_headers = (('server-leaving', '1'),)
        await self._hold_statement('leaving', endpoint, LEAVE_DURATION_S)
        self._site.remove_entry(endpoint)

    async def _state_backoff(self, endpoint: SoakEndpoint) -> None:
        endpoint.stated_headers = (('retry-after', str(BACKOFF_S)),)
        endpoint.is_full = True
        try:
            await self._hold_statement('rest', endpoint, BACKOFF_S)
        finally:
            endpoint.is_full = False

    async def _hold_statement(
        self,
        kind: str,
        endpoint: SoakEndpoint,
        duration_s: float,
        limit_per_s: float = 0,
    ) -> None:
        loop = asyncio.get_running_loop()
        name, from_s = endpoint.name, loop.time()
        try:
            await asyncio.sleep(duration_s)
        finally:
            endpoint.stated_headers = ()
        statement = Statement(kind, endpoint, name, from_s, loop.time(), limit_per_s)
        self._statements.append(statement)

    def check(self) -> list[str]:
        """Return the calls that violated what endpoints stated."""
        results = [self._check_statement(statement) for statement in self._statements]
        return [line for line in results if line]

    @property
    def statement_count(self) -> int:
        """Number of statements that have ended."""
        return len(self._statements)

    def _check_statement(self, statement: Statement) -> str:
        if statement.endpoint.name != statement.name:
            # Another run has the address, and it has stated nothing.
            return ''
        if statement.kind == 'limit':
            return self._check_limit(statement)
        if statement.kind == 'leaving':
            return self._check_leaving(statement)
        return self._check_backoff(statement)

    def _check_limit(self, statement: Statement) -> str:
        # Calls before the statement, and those in transit, are no violation.
        received_s = statement.from_s + 2 * PROPAGATION_S
        call_times_s = _between(
            statement.endpoint.call_times_s, received_s, statement.until_s
        )
        max_calls = 1.5 * statement.limit_per_s * SPAN_S + 5
        for at_s in _between(
            call_times_s, statement.from_s + NOTICE_S, statement.until_s
        ):
            call_count = len(_between(call_times_s, at_s - SPAN_S, at_s))
            if call_count > max_calls and self._is_undisturbed(
                statement, at_s - SPAN_S, at_s
            ):
                return (
                    f'{statement.endpoint.name}: {call_count} calls in {SPAN_S} s '
                    f'until {at_s - statement.from_s:.1f} s after its statement, '
                    f'{max_calls} allowed by its limit'
                )
        return ''

    def _check_leaving(self, statement: Statement) -> str:
        execution_times_s = statement.endpoint.execution_times_s
        received_s = _between(execution_times_s, statement.from_s, statement.until_s)
        if not received_s:
            return ''
        for at_s in _between(
            execution_times_s, received_s[0] + NOTICE_S + DRAIN_S, float('inf')
        ):
            if self._is_undisturbed(statement, received_s[0], at_s):
                late_s = at_s - received_s[0]
                return (
                    f'{statement.endpoint.name}: run {late_s:.2f} s '
                    'after it announced leaving'
                )
        return ''

    def _check_backoff(self, statement: Statement) -> str:
        call_times_s = _between(
            statement.endpoint.call_times_s, statement.from_s, statement.until_s
        )
        max_calls = MAX_BACKOFF_CALLS * len(self._site.gateways)
        if len(call_times_s) > max_calls and self._is_undisturbed(
            statement, statement.from_s, statement.until_s
        ):
            return (
                f'{statement.endpoint.name}: {len(call_times_s)} calls in a backoff, '
                f'{max_calls} allowed'
            )
        return ''

    def _is_undisturbed(
        self, statement: Statement, from_s: float, until_s: float
    ) -> bool:
        """Return whether all gateways ran and could reach the endpoint."""
        proxy = statement.endpoint.proxy
        assert proxy is not None
        gateways = [gateway.events_s for gateway in self._site.gateways]
        return not any(
            _between(events_s, from_s - MAX_FAULT_S, until_s)
            for events_s in (proxy.events_s, *gateways)
        )


def _between(times_s: Sequence[float], from_s: float, until_s: float) -> list[float]:
    """Return the times in a sorted list from one time until another."""
    start = bisect_left(times_s, from_s)
    return list(times_s[start : bisect_right(times_s, until_s)])
