"""Backoffs that endpoints requested from this instance, by run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Maximum number of runs that are remembered, the newest.
MAX_RUNS = 4_096


class BackoffTimes:
    """Records until when endpoints accept no requests from this instance.

    :param on_backoff: called with each run that requests a backoff, and its length in ms.
    """

    def __init__(self, on_backoff: Callable[[EndpointRun, int], None]) -> None:
        self._on_backoff = on_backoff
        self._until_ms: dict[EndpointRun, int] = {}

    def record_backoff(self, run: EndpointRun, backoff_ms: int, now_ms: int) -> None:
        """Record that a run accepts no requests for some time.

        :param run: the run of the endpoint.
        :param backoff_ms: length of the backoff, from now on.
        :param now_ms: the current time.
        """
        until_ms = max(now_ms + backoff_ms, self._until_ms.pop(run, 0))
        self._until_ms[run] = until_ms
        if len(self._until_ms) > MAX_RUNS:
            self._until_ms.pop(next(iter(self._until_ms)))
        self._on_backoff(run, backoff_ms)

    def remaining_ms(self, run: EndpointRun, now_ms: int) -> int:
        """Return the remaining backoff of a run in ms; 0 if it accepts requests.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        return max(0, self._until_ms.get(run, 0) - now_ms)
