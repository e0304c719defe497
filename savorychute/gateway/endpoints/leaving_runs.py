"""Endpoint runs that stated that they are leaving."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.membership.told_leaving import ToldLeaving

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Maximum number of runs that are remembered, the newest.
MAX_RUNS = 4_096
# How long a run is announced to other instances, and how many are, the newest first.
ANNOUNCEMENT_MS = 10_000
MAX_ANNOUNCED = 6


class LeavingRuns:
    """Remembers leaving runs permanently: no entry of the store revokes the statement.

    :param on_leaving: called once with each run.
    """

    def __init__(self, on_leaving: Callable[[EndpointRun], None]) -> None:
        self._on_leaving = on_leaving
        # Called as well, once the run is recorded.
        self.on_recorded: Callable[[EndpointRun], None] | None = None
        self._runs: dict[EndpointRun, int] = {}

    def __contains__(self, run: object) -> bool:
        return run in self._runs

    def record_leaving(self, run: EndpointRun, now_ms: int) -> None:
        """Record that a run is leaving.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        if run in self._runs:
            return
        self._runs[run] = now_ms
        if len(self._runs) > MAX_RUNS:
            self._runs.pop(next(iter(self._runs)))
        self._on_leaving(run)
        if self.on_recorded is not None:
            self.on_recorded(run)

    def announcements(self, now_ms: int) -> tuple[ToldLeaving, ...]:
        """Return the runs to announce to other instances; usually none.

        :param now_ms: the current time.
        """
        newest = islice(reversed(self._runs.items()), MAX_ANNOUNCED)
        return tuple(
            ToldLeaving(run.endpoint, run.born_ms)
            for run, leaving_ms in newest
            if now_ms - leaving_ms <= ANNOUNCEMENT_MS
        )

    def record_reported(
        self, announcements: Iterable[ToldLeaving], now_ms: int
    ) -> None:
        """Record the leaving runs that another instance announced.

        :param announcements: runs that are leaving.
        :param now_ms: the current time.
        """
        for endpoint, born_ms in announcements:
            self.record_leaving(EndpointRun(endpoint, born_ms), now_ms)
