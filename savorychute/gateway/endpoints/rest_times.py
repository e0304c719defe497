"""Endpoints that have asked this instance for rest, by run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Runs that are remembered, the newest.
RUNS_KEPT = 4_096


class RestTimes:
    """Remembers until when endpoints want nothing of this instance.

    :param on_rest: called with each run that asks for rest, and for how long in ms.
    """

    def __init__(self, on_rest: Callable[[EndpointRun, int], None]) -> None:
        self._on_rest = on_rest
        self._until_ms: dict[EndpointRun, int] = {}

    def state(self, run: EndpointRun, rest_ms: int, now_ms: int) -> None:
        """Take in that a run wants nothing for some time.

        :param run: of the endpoint.
        :param rest_ms: that time, from now on.
        :param now_ms: the time.
        """
        until_ms = max(now_ms + rest_ms, self._until_ms.pop(run, 0))
        self._until_ms[run] = until_ms
        if len(self._until_ms) > RUNS_KEPT:
            self._until_ms.pop(next(iter(self._until_ms)))
        self._on_rest(run, rest_ms)

    def left_ms(self, run: EndpointRun, now_ms: int) -> int:
        """Return for how long a run wants nothing; 0 if it takes requests.

        :param run: of the endpoint.
        :param now_ms: the time.
        """
        return max(0, self._until_ms.get(run, 0) - now_ms)
