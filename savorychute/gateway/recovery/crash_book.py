"""Requests during which endpoints broke off."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from savorychute.gateway.recovery.crash_sighting import CrashSighting

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun

# Two endpoints may break off by chance while they run the same request; a third is
# taken for the request's doing.
CRASHES = 3
KEPT = 1_024
LIFETIME_MS = 120_000
# A run that broke off is put down to a crash if its endpoint is found gone within the
# time in which the platform notices: its entry lapses after three missed heartbeats.
EVIDENCE_MS = 6_000
WAITING_KEPT = 512
# What is older is not told to instances that start.
TOLD_MS = 60_000


class CrashBook:
    """Counts the runs of endpoints that broke off for each request, here and elsewhere.

    A request that crashes whatever runs it comes again from its caller, at any
    instance, and would take down one endpoint after the other.  Instances tell each
    other what they saw; from the third endpoint on the request is not run.

    A connection that is reset proves no crash, and popular requests meet many resets
    where a network is bad; a sighting counts once the endpoint is found gone.
    """

    def __init__(self) -> None:
        self._runs: OrderedDict[str, dict[EndpointRun, int]] = OrderedDict()
        self._waiting: OrderedDict[CrashSighting, int] = OrderedDict()
        self._fresh: list[CrashSighting] = []

    def broke_off(self, sighting: CrashSighting, now_ms: int) -> None:
        """Take in that an endpoint broke off while it ran a request.

        :param sighting: request and endpoint.
        :param now_ms: the time.
        """
        self._waiting[sighting] = now_ms
        if len(self._waiting) > WAITING_KEPT:
            self._waiting.popitem(last=False)

    def endpoint_ended(self, run: EndpointRun, now_ms: int) -> None:
        """Take in that an endpoint is gone, or refuses connections.

        :param run: its run.
        :param now_ms: the time.
        """
        for sighting, seen_ms in list(self._waiting.items()):
            if sighting.run != run:
                continue
            del self._waiting[sighting]
            if now_ms - seen_ms <= EVIDENCE_MS and self._add(sighting, now_ms):
                self._fresh.append(sighting)

    def take_in(self, sightings: Iterable[CrashSighting], now_ms: int) -> None:
        """Take in what other instances saw.

        :param sightings: theirs.
        :param now_ms: the time at which they were made.
        """
        for sighting in sightings:
            self._add(sighting, now_ms)

    def take_fresh(self) -> tuple[CrashSighting, ...]:
        """Return what the others have not been told yet."""
        fresh = tuple(self._fresh)
        self._fresh.clear()
        return fresh

    def latest(self, most: int, now_ms: int) -> list[tuple[CrashSighting, int]]:
        """Return what an instance that has just started should know, with its age in ms.

        :param most: how many sightings.
        :param now_ms: the time.
        """
        known = [
            (CrashSighting(fingerprint, run), now_ms - seen_ms)
            for fingerprint, runs in self._runs.items()
            for run, seen_ms in runs.items()
            if now_ms - seen_ms < TOLD_MS
        ]
        return known[-most:]

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether the request must not run.

        :param fingerprint: of the request.
        :param now_ms: the time.
        """
        runs = self._runs.get(fingerprint)
        if runs is None:
            return False
        recent = [seen for seen in runs.values() if now_ms - seen < LIFETIME_MS]
        return len(recent) >= CRASHES

    def _add(self, sighting: CrashSighting, now_ms: int) -> bool:
        runs = self._runs.setdefault(sighting.fingerprint, {})
        self._runs.move_to_end(sighting.fingerprint)
        if len(self._runs) > KEPT:
            self._runs.popitem(last=False)
        if sighting.run in runs:
            return False
        runs[sighting.run] = now_ms
        return True
