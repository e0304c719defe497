"""Reads an endpoint's response as fast as its caller does."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.gateway.requests.attempt_port import TimerHandle, TimerPort

# How long an endpoint's response may stay unread; some endpoints cut it off after a few
# seconds.
MAX_PAUSE_MS = 1_000


class PausableExecution(Protocol):
    """A request whose response can be read later."""

    finished: bool

    def pause_reading(self) -> None:
        """Stop reading the endpoint's response."""
        ...

    def resume_reading(self) -> None:
        """Go on reading the endpoint's response."""
        ...


class ResponseFlow:
    """Pauses an endpoint's response while its caller reads slowly, for a bounded time.

    After that time the response is read and held here until the caller has read it.
    While there is little memory, the caller's connection pauses it again after each
    part, which shows the endpoint that the response is still wanted.

    :param execution: the request.
    :param timers: limit the pauses.
    """

    def __init__(self, execution: PausableExecution, timers: TimerPort) -> None:
        self._execution = execution
        self._timers = timers
        self._timer: TimerHandle | None = None

    def caller_paused(self) -> None:
        """Pause the response, because the caller reads slowly."""
        self._cancel_timer()
        if self._execution.finished:
            return
        self._execution.pause_reading()
        self._timer = self._timers.call_later(MAX_PAUSE_MS, self.caller_resumed)

    def caller_resumed(self) -> None:
        """Go on, because the caller has read nearly everything, or the pause is long."""
        self._cancel_timer()
        if not self._execution.finished:
            self._execution.resume_reading()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
