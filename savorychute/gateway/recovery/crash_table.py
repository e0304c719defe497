"""Observed crashes of endpoints, by the request that they were running."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.gateway.recovery.crash_sighting import CrashSighting

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Two endpoints may crash by chance while they run the same request; after a third crash
# the request is considered the cause.
SUSPECT_CRASHES = 3
MAX_FINGERPRINTS = 1_024
CRASH_LIFETIME_MS = 120_000
# An interrupted attempt counts as a crash if its endpoint is found gone within the time
# in which the platform detects that: an entry expires after three missed heartbeats.
CONFIRMATION_WINDOW_MS = 6_000
MAX_UNCONFIRMED = 512
# Older crashes are not reported to instances that start.
MAX_REPORTED_AGE_MS = 60_000


class CrashTable:
    """Counts the endpoints that crashed during each request, on all instances.

    A caller resends a request that crashes its endpoint, possibly to another instance,
    and the request would crash one endpoint after another.  Instances therefore exchange
    their observed crashes; from the third endpoint on the request is not run.

    A connection reset does not prove a crash, and popular requests encounter many resets
    on a faulty network; a crash counts only once the endpoint is found gone.
    """

    def __init__(self) -> None:
        self._crashed_runs: OrderedDict[str, dict[EndpointRun, int]] = OrderedDict()
        self._unconfirmed: OrderedDict[CrashSighting, int] = OrderedDict()
        self._unreported: list[CrashSighting] = []
        # Called with each crash that this instance observed, and the request's crashes.
        self.on_counted: Callable[[CrashSighting, int], None] | None = None

    def record_interruption(self, crash: CrashSighting, now_ms: int) -> None:
        """Record that the connection to an endpoint was lost while it ran a request.

        :param crash: the request and the endpoint.
        :param now_ms: the current time.
        """
        self._unconfirmed[crash] = now_ms
        if len(self._unconfirmed) > MAX_UNCONFIRMED:
            self._unconfirmed.popitem(last=False)

    def endpoint_ended(self, run: EndpointRun, now_ms: int) -> None:
        """Confirm the crashes of an endpoint that is gone or refuses connections.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        for crash, seen_ms in list(self._unconfirmed.items()):
            if crash.run != run:
                continue
            del self._unconfirmed[crash]
            if now_ms - seen_ms <= CONFIRMATION_WINDOW_MS and self._add(crash, now_ms):
                self._unreported.append(crash)
                if self.on_counted is not None:
                    self.on_counted(crash, len(self._crashed_runs[crash.fingerprint]))

    def record_reported(self, crashes: Iterable[CrashSighting], now_ms: int) -> None:
        """Record the crashes that another instance observed.

        :param crashes: the observed crashes.
        :param now_ms: the time at which they were observed.
        """
        for crash in crashes:
            self._add(crash, now_ms)

    def take_unreported(self) -> tuple[CrashSighting, ...]:
        """Return the crashes to report to other instances, and mark them as reported."""
        unreported = tuple(self._unreported)
        self._unreported.clear()
        return unreported

    def list_recent(self, limit: int, now_ms: int) -> list[tuple[CrashSighting, int]]:
        """Return recent crashes for an instance that has just started, with ages in ms.

        :param limit: the maximum number of crashes.
        :param now_ms: the current time.
        """
        known = [
            (CrashSighting(fingerprint, run), now_ms - seen_ms)
            for fingerprint, runs in self._crashed_runs.items()
            for run, seen_ms in runs.items()
            if now_ms - seen_ms < MAX_REPORTED_AGE_MS
        ]
        return known[-limit:]

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the request must not run.

        :param fingerprint: the fingerprint of the request.
        :param now_ms: the current time.
        """
        runs = self._crashed_runs.get(fingerprint)
        if runs is None:
            return False
        recent = [
            seen_ms for seen_ms in runs.values() if now_ms - seen_ms < CRASH_LIFETIME_MS
        ]
        return len(recent) >= SUSPECT_CRASHES

    def _add(self, crash: CrashSighting, now_ms: int) -> bool:
        runs = self._crashed_runs.setdefault(crash.fingerprint, {})
        self._crashed_runs.move_to_end(crash.fingerprint)
        if len(self._crashed_runs) > MAX_FINGERPRINTS:
            self._crashed_runs.popitem(last=False)
        if crash.run in runs:
            return False
        runs[crash.run] = now_ms
        return True
