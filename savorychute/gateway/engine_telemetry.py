"""Logs and metrics of the speeds of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.engines.shared_speeds import SLOW_SPEED
from savorychute.gateway.log_identifier import make_identifier
from savorychute.logs import LogLevel

if TYPE_CHECKING:
    from collections.abc import Mapping

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.engines.engine_speed import EngineSpeed
    from savorychute.gateway.telemetry import GatewayTelemetry

# Interval at which the speeds of some engines of a service are logged, and of how many;
# the others follow.  A line takes about 0.1 ms.
SUMMARY_INTERVAL_MS = 5_000
MAX_LISTED = 4
PERCENT = 100
# How many senders of invalid observations are logged.
MAX_REMEMBERED_SENDERS = 256


class EngineTelemetry:
    """Logs which engines are slow, and the speeds of all from time to time.

    :param telemetry: writes the lines and metrics.
    """

    def __init__(self, telemetry: GatewayTelemetry) -> None:
        self._telemetry = telemetry
        self._logged_senders: set[str] = set()
        self._next_summary_ms: dict[str, int] = {}
        self._last_listed: dict[str, str] = {}

    def engine_slow(self, run: EndpointRun, service: str, speed: EngineSpeed) -> None:
        """Log that an engine was found to be slow."""
        self._write(LogLevel.WARNING, 'engine-slow', run, service, speed, 'slow')

    def engine_well(self, run: EndpointRun, service: str, speed: EngineSpeed) -> None:
        """Log that a slow engine was found to be well again."""
        self._write(LogLevel.INFO, 'engine-well', run, service, speed, 'well')

    def speeds_compared(
        self, service: str, speeds: Mapping[EndpointRun, EngineSpeed], differ: bool
    ) -> None:
        """Update the metrics, and list some of the engines from time to time."""
        if not speeds:
            return
        relative = [each.relative for each in speeds.values()]
        metrics = self._telemetry.metrics
        metrics.set('engine_speed', min(relative), service=service, engine='slowest')
        metrics.set('engine_speed', max(relative), service=service, engine='fastest')
        slow = sum(each < SLOW_SPEED for each in relative)
        metrics.set('engines_slow', slow, service=service)
        weight = sum(each.weight for each in speeds.values())
        metrics.set('engine_evidence', round(weight), service=service)
        now_ms = self._telemetry.clock.now_ms()
        if now_ms >= self._next_summary_ms.get(service, 0):
            self._next_summary_ms[service] = now_ms + SUMMARY_INTERVAL_MS
            self._write_summary(service, speeds, differ)

    def rows_ignored(self, sender: str) -> None:
        """Count an invalid observation, and log the first one of each sender."""
        self._telemetry.metrics.count('engine_rows_ignored_total')
        if sender in self._logged_senders:
            return
        if len(self._logged_senders) >= MAX_REMEMBERED_SENDERS:
            return
        self._logged_senders.add(sender)
        self._telemetry.write(
            LogLevel.WARNING, 'engine-rows-ignored', '', member=make_identifier(sender)
        )

    def _write(
        self,
        level: LogLevel,
        event: str,
        run: EndpointRun,
        service: str,
        speed: EngineSpeed,
        state: str,
    ) -> None:
        self._telemetry.write(
            level,
            event,
            '',
            endpoint=run.endpoint,
            service=service,
            state=state,
            speed_percent=round(PERCENT * speed.relative),
            prefill_percent=round(PERCENT * speed.prefill),
            generation_percent=round(PERCENT * speed.generation),
            count=round(speed.weight),
            age_ms=speed.age_ms,
        )

    def _write_summary(
        self, service: str, speeds: Mapping[EndpointRun, EngineSpeed], differ: bool
    ) -> None:
        last = self._last_listed.get(service, '')
        ordered = sorted(speeds, key=lambda run: (run.endpoint <= last, run.endpoint))
        listed = ordered[:MAX_LISTED]
        self._last_listed[service] = listed[-1].endpoint
        state = 'different' if differ else 'even'
        for run in listed:
            self._write(LogLevel.INFO, 'engine-speed', run, service, speeds[run], state)
