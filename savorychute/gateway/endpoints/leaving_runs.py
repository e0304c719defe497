"""Endpoints that have said that they leave, by run."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.membership.told_leaving import ToldLeaving

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Runs that are remembered, the newest.
RUNS_KEPT = 4_096
# Other instances are told of a run for so long, the newest first.
TOLD_MS = 10_000
MOST_TOLD = 6


class LeavingRuns:
    """Remembers them for good: no entry of the store takes back what a run has said.

    :param on_leaving: called with each run, once.
    """

    def __init__(self, on_leaving: Callable[[EndpointRun], None]) -> None:
        self._on_leaving = on_leaving
        self._runs: dict[EndpointRun, int] = {}

    def __contains__(self, run: object) -> bool:
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

    def told(self, now_ms: int) -> tuple[ToldLeaving, ...]:
        """Return what other instances are told; usually nothing.

        :param now_ms: the time.
        """
        newest = islice(reversed(self._runs.items()), MOST_TOLD)
        return tuple(
            ToldLeaving(run.endpoint, run.born_ms)
            for run, stated_ms in newest
            if now_ms - stated_ms <= TOLD_MS
        )

    def hear(self, told: Iterable[ToldLeaving], now_ms: int) -> None:
        """Take in what another instance tells.

        :param told: runs that leave.
        :param now_ms: the time.
        """
        for endpoint, born_ms in told:
            self.state(EndpointRun(endpoint, born_ms), now_ms)
