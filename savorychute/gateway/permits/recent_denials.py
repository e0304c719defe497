"""Recent denials of calls to endpoints that state limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.requests.rank import LAST_ROUTE_LEVEL

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# An endpoint that denied a call for at least this time has too little capacity for the
# usual requests.  It is the last resort for a while: if it were available
# intermittently, the homes of prompts would change each time.
SCARCE_WAIT_MS = 250
SCARCE_MS = 60_000
# Maximum number of runs that are remembered, the newest.
MAX_RUNS = 4_096


class _Denial(NamedTuple):
    """Until when calls of each tier are denied, and until when calls are scarce."""

    limit_per_s: float
    denied_until_ms: tuple[int, ...]
    scarce_until_ms: int


NO_DENIAL = _Denial(0.0, (0,) * (LAST_ROUTE_LEVEL + 1), 0)


class RecentDenials:
    """Remembers which calls would be denied again, so that no permit is requested.

    A denial under one limit does not apply to a higher limit.
    """

    def __init__(self) -> None:
        self._denials: dict[EndpointRun, _Denial] = {}

    def record_denial(
        self, run: EndpointRun, tier: int, wait_ms: int, limit_per_s: float, now_ms: int
    ) -> None:
        """Record a denied call; less urgent calls would be denied as well.

        :param run: the run of the endpoint.
        :param tier: tier of the call.
        :param wait_ms: time for which no permit should be requested.
        :param limit_per_s: the limit of the endpoint.
        :param now_ms: the current time.
        """
        previous = self._find(run, limit_per_s)
        self._denials.pop(run, None)
        denied_until_ms = tuple(
            max(until_ms, now_ms + wait_ms) if each_tier >= tier else until_ms
            for each_tier, until_ms in enumerate(previous.denied_until_ms)
        )
        scarce_until_ms = previous.scarce_until_ms
        if wait_ms >= SCARCE_WAIT_MS:
            scarce_until_ms = now_ms + SCARCE_MS
        self._denials[run] = _Denial(limit_per_s, denied_until_ms, scarce_until_ms)
        if len(self._denials) > MAX_RUNS:
            self._denials.pop(next(iter(self._denials)))

    def is_scarce(self, run: EndpointRun, limit_per_s: float, now_ms: int) -> bool:
        """Return whether a call was denied recently for more than a short time.

        :param run: the run of the endpoint.
        :param limit_per_s: the limit of the endpoint.
        :param now_ms: the current time.
        """
        return now_ms < self._find(run, limit_per_s).scarce_until_ms

    def wait_ms(
        self, run: EndpointRun, tier: int, limit_per_s: float, now_ms: int
    ) -> int:
        """Return how long no permit should be requested; 0 if it can be.

        :param run: the run of the endpoint.
        :param tier: tier of the call.
        :param limit_per_s: the limit of the endpoint.
        :param now_ms: the current time.
        """
        return max(0, self._find(run, limit_per_s).denied_until_ms[tier] - now_ms)

    def _find(self, run: EndpointRun, limit_per_s: float) -> _Denial:
        denial = self._denials.get(run, NO_DENIAL)
        return denial if denial.limit_per_s >= limit_per_s else NO_DENIAL
