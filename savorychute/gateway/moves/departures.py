"""The streams of this instance at engines that support moves, and their departures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.moves.engine_departure import EngineDeparture

if TYPE_CHECKING:
    import random

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.moves.movable_run import MovableRun
    from savorychute.gateway.moves.move_telemetry import MoveTelemetry

# Number of leaving engines that are remembered, the newest: a stream may begin at one
# some time after it is known to leave.
MAX_DEPARTURES = 512
# The departures of a service share the reports of its engines, which have a price.  Engines
# that are down refuse at once, and would be queried without a pause.
QUERY_INTERVAL_MS = 200


class Departures:
    """Begins the departure of an engine once it is known to leave.

    :param telemetry: logs the moves.
    :param notice_ms: the shortest notice of an engine that does not state its end.
    :param clock: the clock.
    :param rng: the random numbers of the instance.
    """

    def __init__(
        self,
        telemetry: MoveTelemetry,
        notice_ms: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.telemetry = telemetry
        self.notice_ms = notice_ms
        self._clock = clock
        self._rng = rng
        self._next_query_ms: dict[str, int] = {}
        self._learned_ms: dict[EndpointRun, int] = {}
        self._streams: dict[EndpointRun, dict[MovableRun, None]] = {}
        self._departures: dict[EndpointRun, EngineDeparture] = {}

    def may_query(self, service: str) -> bool:
        """Return whether reports of targets may be requested; count it as done if so.

        :param service: name of the service.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_query_ms.get(service, 0):
            return False
        self._next_query_ms[service] = now_ms + QUERY_INTERVAL_MS
        return True

    def add(self, stream: MovableRun) -> None:
        """Register a stream at the engine that has sent its first event.

        :param stream: the stream.
        """
        entry = stream.record.entry
        self._streams.setdefault(entry.run, {})[stream] = None
        if stream.parts.roster.is_leaving(entry):
            self.engine_leaves(entry.run)

    def discard(self, stream: MovableRun, run: EndpointRun) -> None:
        """Remove a stream that has ended at an engine.

        :param stream: the stream.
        :param run: the run of the engine.
        """
        streams = self._streams.get(run)
        if streams is None:
            return
        streams.pop(stream, None)
        if not streams and run not in self._departures:
            del self._streams[run]

    def engine_leaves(self, run: EndpointRun) -> None:
        """Move the streams of an engine that leaves.

        :param run: the run of the engine.
        """
        if run not in self._learned_ms:
            self._learned_ms[run] = self._clock.now_ms()
            if len(self._learned_ms) > MAX_DEPARTURES:
                oldest = next(iter(self._learned_ms))
                del self._learned_ms[oldest]
                self._departures.pop(oldest, None)
                if not self._streams.get(oldest):
                    self._streams.pop(oldest, None)
        streams = self._streams.get(run)
        if not streams:
            return
        departure = self._departures.get(run)
        stream = next(iter(streams))
        if departure is not None:
            # Not at once: the caller may be handling an event of one of the streams.
            stream.parts.timers.call_later(0, departure.advance)
            return
        departure = EngineDeparture(
            stream.parts,
            stream.record,
            stream.engine,
            streams,
            self._learned_ms[run] + self.notice_ms,
            self.notice_ms,
            self._rng,
        )
        self._departures[run] = departure
        stream.parts.timers.call_later(0, departure.start)
