"""A stand-in plain service that counts its executions."""

from __future__ import annotations

import heapq
from typing import NamedTuple

import xxhash

from savorychute.testing.endpoint_down import EndpointDownError

STATUS_OK = 200


class ServiceSettings(NamedTuple):
    """Duration and concurrency of calls."""

    name: str = 'service'
    service_ms: float = 20.0
    max_running: int = 16
    max_waiting: int = 64


class ServiceRequest(NamedTuple):
    """One call."""

    attempt_id: str
    method: str
    path: str
    body: bytes


class ServiceAccepted(NamedTuple):
    """The service executes the call."""

    attempt_id: str


class ServiceRefused(NamedTuple):
    """The service refused the call and states that it did not run."""

    attempt_id: str
    leaving: bool


class ServiceAnswered(NamedTuple):
    """The answer to a call."""

    attempt_id: str
    status: int
    body: bytes


class ServiceBroken(NamedTuple):
    """The connection of a call broke."""

    attempt_id: str


ServiceEvent = ServiceAccepted | ServiceRefused | ServiceAnswered | ServiceBroken


def write_service_answer(request: ServiceRequest) -> bytes:
    """Return the answer, a function of the call alone."""
    digest = xxhash.xxh64(request.body).hexdigest()
    return f'{request.method} {request.path} {digest}'.encode()


class PlainService:
    """Executes a call when it starts it, and answers after ``service_ms``.

    A call continues when its caller disconnects, as in an ordinary service.
    """

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.is_up = True
        self.leaving = False
        self.refusing = False
        self.unresponsive = False
        self.slowdown = 1.0
        self.executions: dict[str, int] = {}
        self.bodies_executed: dict[bytes, int] = {}
        self._waiting: list[ServiceRequest] = []
        self._running: list[tuple[float, int, ServiceRequest]] = []
        self._arrivals = 0

    def submit(self, request: ServiceRequest, now_ms: float) -> list[ServiceEvent]:
        """Accept a call, or refuse it without running it.

        :raises EndpointDownError: if the service is down.
        """
        if not self.is_up:
            raise EndpointDownError(f'{self.settings.name} is down')
        events = self.advance(now_ms)
        is_full = len(self._waiting) >= self.settings.max_waiting
        if self.leaving or self.refusing or is_full:
            return [*events, ServiceRefused(request.attempt_id, self.leaving)]
        self._waiting.append(request)
        if not self.unresponsive:
            events.append(ServiceAccepted(request.attempt_id))
            self._fill(now_ms)
        return events

    def advance(self, now_ms: float) -> list[ServiceEvent]:
        """Advance the service to *now_ms* and return its answers."""
        events: list[ServiceEvent] = []
        while not self.unresponsive and self._running and self._running[0][0] <= now_ms:
            done_ms, _, request = heapq.heappop(self._running)
            body = write_service_answer(request)
            events.append(ServiceAnswered(request.attempt_id, STATUS_OK, body))
            self._fill(done_ms)
        return events

    def next_event_ms(self) -> float | None:
        """Return the time of the next event, or None."""
        if self.unresponsive or not self._running:
            return None
        return self._running[0][0]

    def set_unresponsive(self, unresponsive: bool, now_ms: float) -> list[ServiceEvent]:
        """Make the service unresponsive, or execute the calls received meanwhile."""
        self.unresponsive = unresponsive
        if unresponsive:
            return []
        events: list[ServiceEvent] = [
            ServiceAccepted(request.attempt_id) for request in self._waiting
        ]
        self._fill(now_ms)
        return events

    def crash(self, now_ms: float) -> list[ServiceEvent]:
        """Crash: all connections break, but executed calls stay executed."""
        events = self.advance(now_ms)
        requests = [*self._waiting, *(entry[2] for entry in self._running)]
        events += [ServiceBroken(request.attempt_id) for request in requests]
        self._waiting.clear()
        self._running.clear()
        self.is_up = False
        return events

    def restart(self, now_ms: float) -> None:
        """Restart after a crash."""
        del now_ms
        self.is_up = True
        self.unresponsive = False

    def _fill(self, now_ms: float) -> None:
        while self._waiting and len(self._running) < self.settings.max_running:
            request = self._waiting.pop(0)
            self._execute(request)
            self._arrivals += 1
            done_ms = now_ms + self.settings.service_ms * self.slowdown
            heapq.heappush(self._running, (done_ms, self._arrivals, request))

    def _execute(self, request: ServiceRequest) -> None:
        attempt_id = request.attempt_id
        self.executions[attempt_id] = self.executions.get(attempt_id, 0) + 1
        body = request.body
        self.bodies_executed[body] = self.bodies_executed.get(body, 0) + 1
