"""Endpoints that have said that they leave, by run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Runs that are remembered, the newest.
RUNS_KEPT = 4_096


class LeavingRuns:
    """Remembers what no entry of the store can take back: a run that leaves does not return.

    :param on_leaving: called with each run, once.
    """

    def __init__(self, on_leaving: Callable[[EndpointRun], None]) -> None:
        self._on_leaving = on_leaving
        self._runs: dict[EndpointRun, int] = {}

    def __contains__(self, run: EndpointRun) -> bool:
        return run in self._runs

    def state(self, run: EndpointRun, now_ms: int) -> None:
        """Take in that a run leaves.

        :param run: of the endpoint.
        :param now_ms: the time.
        """
        if run in self._runs:
            return
        self._runs[run] = now_ms
        if len(self._runs) > RUNS_KEPT:
            self._runs.pop(next(iter(self._runs)))
        self._on_leaving(run)
