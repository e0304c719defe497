"""Speeds of engines as the choice of an engine uses them."""

from __future__ import annotations

from math import exp2, isfinite, log2
from typing import TYPE_CHECKING

from savorychute.gateway.engines.engine_speed import (
    UNKNOWN_SPEED,
    EngineSpeed,
    EvenSpeeds,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.engines.engine_speed import EngineSpeeds

# Speeds are read at most this often: with 160 engines a reading takes a fifth of a ms.
READ_INTERVAL_MS = 250
# A longer interval without requests counts as this one.
MAX_READ_MS = 4 * READ_INTERVAL_MS
# A steady speed below the first value makes an engine slow, one above the second makes it
# usual again.  Instances know slightly different speeds; with finer steps they ranked
# engines differently, and each of them had prompts cached elsewhere.
SLOW_SPEED = 0.64
USUAL_SPEED = 0.78
# With fewer engines there is hardly a choice, and a replay of two gained nothing.
MIN_UNEVEN_ENGINES = 3
# Averaging time of steady speeds.  Homes and partitions must not follow an engine that
# is slow for some seconds, because each change of a home costs a prefill.
STEADY_MS = 10_000
# Observations from which on a speed counts for the steady one.
MIN_EVIDENCE = 4.0
# Limits of a speed that decisions use.
MIN_RELATIVE = 0.1
MAX_RELATIVE = 4.0
# A run that no request could use for this time is forgotten.
FORGET_MS = 30_000


class _KnownSpeed:
    """What is known of one run: its present speed, and the weight of its steady one."""

    __slots__ = ('log_mean', 'observed_ms', 'present', 'read_ms', 'weight')

    def __init__(self) -> None:
        self.present = UNKNOWN_SPEED
        self.log_mean = 0.0
        # For how long the steady speed has been observed.
        self.observed_ms = 0
        self.weight = 1.0
        self.read_ms = 0

    def read(self, speed: EngineSpeed, now_ms: int) -> None:
        relative = _bound(speed.relative)
        self.present = speed._replace(relative=relative)
        elapsed_ms = min(max(1, now_ms - self.read_ms), MAX_READ_MS)
        self.read_ms = now_ms
        if speed.weight < MIN_EVIDENCE:
            return
        self.observed_ms += elapsed_ms
        share = elapsed_ms / min(self.observed_ms, STEADY_MS)
        self.log_mean += share * (log2(relative) - self.log_mean)
        steady = exp2(self.log_mean)
        if steady > USUAL_SPEED:
            self.weight = 1.0
        elif steady < SLOW_SPEED or self.weight < 1.0:
            # Rounded to halves, quarters and so on, alike on nearly all instances.
            self.weight = exp2(min(round(self.log_mean), -1))

    @property
    def is_slow(self) -> bool:
        """Whether decisions should take the engine for slow."""
        return self.weight < 1.0 or self.present.relative < SLOW_SPEED


class _ServiceSpeeds:
    """The speeds of the engines of one service."""

    def __init__(self) -> None:
        self.known: dict[EndpointRun, _KnownSpeed] = {}
        # By record, as the name of a run is made anew at each access.  Weights of all
        # of 160 engines are looked up several times for each choice.
        self.weights: dict[EndpointRecord, float] = {}
        self.relative: dict[EndpointRecord, float] = {}
        self.read_ms: int | None = None
        self.uneven = False

    def read(
        self, records: Sequence[EndpointRecord], speeds: EngineSpeeds, now_ms: int
    ) -> None:
        self.read_ms = now_ms
        weights, relative = {}, {}
        for record in records:
            run = record.entry.run
            known = self.known.setdefault(run, _KnownSpeed())
            known.read(speeds.speed(run, record.entry.service, now_ms), now_ms)
            weights[record] = known.weight
            relative[record] = known.present.relative
        self.weights, self.relative = weights, relative
        for run, known in list(self.known.items()):
            if now_ms - known.read_ms > FORGET_MS:
                del self.known[run]
        slow = any(known.is_slow for known in self.known.values())
        self.uneven = slow and len(self.known) >= MIN_UNEVEN_ENGINES


class PlacementSpeeds:
    """Reads speeds at intervals, and takes engines that hardly differ for even.

    It tells two speeds of each engine: the present one, by which waits are predicted,
    and a steady one, by which homes and partitions are assigned.  While the engines of a
    service are even, all of its speeds are exactly 1.0.

    :param speeds: tells the speed of each engine; all are equal if omitted.
    """

    def __init__(self, speeds: EngineSpeeds | None = None) -> None:
        self._speeds = speeds or EvenSpeeds()
        self._always_even = isinstance(self._speeds, EvenSpeeds)
        self._services: dict[str, _ServiceSpeeds] = {}

    def update(self, records: Sequence[EndpointRecord], now_ms: int) -> bool:
        """Read the speeds of some engines if due; return whether engines differ.

        :param records: engines of one service, at least one.
        :param now_ms: the current time.
        """
        if self._always_even:
            return False
        name = records[0].entry.service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceSpeeds()
        if service.read_ms is None or now_ms - service.read_ms >= READ_INTERVAL_MS:
            service.read(records, self._speeds, now_ms)
        return service.uneven

    def is_uneven(self, service: str) -> bool:
        """Return whether the engines of a service were observed to differ."""
        known = self._services.get(service)
        return known is not None and known.uneven

    def speed(self, run: EndpointRun, service: str, now_ms: int) -> EngineSpeed:
        """Return the present speed of an engine.

        :param run: the run.
        :param service: name of the engine's service.
        :param now_ms: the current time; not used, as speeds are read at intervals.
        """
        del now_ms
        speeds = self._services.get(service)
        if speeds is None or not speeds.uneven:
            return UNKNOWN_SPEED
        known = speeds.known.get(run)
        return UNKNOWN_SPEED if known is None else known.present

    def relative(self, record: EndpointRecord) -> float:
        """Return the present relative speed of an engine."""
        speeds = self._services.get(record.entry.service)
        if speeds is None or not speeds.uneven:
            return 1.0
        return speeds.relative.get(record, 1.0)

    def weights(self, records: Sequence[EndpointRecord]) -> list[float] | None:
        """Return the steady speeds of some engines, or None if none of them is slow.

        :param records: engines of one service, at least one.
        """
        speeds = self._services.get(records[0].entry.service)
        if speeds is None or not speeds.uneven:
            return None
        weights = [speeds.weights.get(each, 1.0) for each in records]
        return weights if min(weights) < 1.0 else None


def _bound(relative: float) -> float:
    """Return a speed within its limits; 1.0 for what is not a number."""
    if not isfinite(relative) or relative <= 0.0:
        return 1.0
    return min(max(relative, MIN_RELATIVE), MAX_RELATIVE)
