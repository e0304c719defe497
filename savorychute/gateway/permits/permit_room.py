"""What denials have shown of the room at endpoints that state limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.requests.rank import LAST_ROUTE_LEVEL

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# An endpoint that denied a call for so long has too little room for the usual requests.  It
# is the last choice for a while: with one that comes and goes, homes of prompts move each time.
SCARCE_WAIT_MS = 250
SCARCE_MS = 60_000
# Runs of which something is remembered, the newest.
RUNS_KEPT = 4_096


class _Denied(NamedTuple):
    """Until when calls of each tier are denied under a limit, and are scarce."""

    per_s: float
    closed_until_ms: tuple[int, ...]
    scarce_until_ms: int


NEVER = _Denied(0.0, (0,) * (LAST_ROUTE_LEVEL + 1), 0)


class PermitRoom:
    """Remembers which calls would be denied again, so that nobody asks for them.

    What was denied under a limit says nothing of a higher one.
    """

    def __init__(self) -> None:
        self._denied: dict[EndpointRun, _Denied] = {}

    def deny(
        self, run: EndpointRun, tier: int, wait_ms: int, per_s: float, now_ms: int
    ) -> None:
        """Note that a call was denied; one that is less urgent would be as well.

        :param run: of the endpoint.
        :param tier: of the call.
        :param wait_ms: until when it need not be asked for again.
        :param per_s: the limit.
        :param now_ms: the time.
        """
        before = self._find(run, per_s)
        self._denied.pop(run, None)
        closed_until_ms = tuple(
            max(until_ms, now_ms + wait_ms) if level >= tier else until_ms
            for level, until_ms in enumerate(before.closed_until_ms)
        )
        scarce_until_ms = before.scarce_until_ms
        if wait_ms >= SCARCE_WAIT_MS:
            scarce_until_ms = now_ms + SCARCE_MS
        self._denied[run] = _Denied(per_s, closed_until_ms, scarce_until_ms)
        if len(self._denied) > RUNS_KEPT:
            self._denied.pop(next(iter(self._denied)))

    def is_scarce(self, run: EndpointRun, per_s: float, now_ms: int) -> bool:
        """Return whether a call was denied lately, and not for a moment only.

        :param run: of the endpoint.
        :param per_s: its limit.
        :param now_ms: the time.
        """
        return now_ms < self._find(run, per_s).scarce_until_ms

    def wait_ms(self, run: EndpointRun, tier: int, per_s: float, now_ms: int) -> int:
        """Return how long a call need not be asked for; 0 if it may be.

        :param run: of the endpoint.
        :param tier: of the call.
        :param per_s: the endpoint's limit.
        :param now_ms: the time.
        """
        return max(0, self._find(run, per_s).closed_until_ms[tier] - now_ms)

    def _find(self, run: EndpointRun, per_s: float) -> _Denied:
        denied = self._denied.get(run, NEVER)
        return denied if denied.per_s >= per_s else NEVER
