"""Interfaces for sending attempts to endpoints and for timers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.moves.move_call import CopyOrder, CopyResult
    from savorychute.gateway.permits.permit import Permit
    from savorychute.gateway.requests.endpoint_response import EndpointResponse
    from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
    from savorychute.http.call_failure import CallFailure


class AttemptListener(Protocol):
    """Receives the events of an attempt; none follows a cancel."""

    def can_send(self) -> bool:
        """Return whether the attempt is still wanted; no byte has been sent yet."""
        ...

    def attempt_withheld(self) -> None:
        """Handle that nothing is sent, as the endpoint no longer accepts the attempt."""
        ...

    def response_started(self, response: EndpointResponse) -> None:
        """Handle the head of the response."""
        ...

    def response_data(self, data: bytes) -> None:
        """Handle a part of the response body."""
        ...

    def response_ended(self) -> None:
        """Handle the end of a complete response."""
        ...

    def attempt_failed(self, failure: CallFailure) -> None:
        """Handle the failure; no event follows."""
        ...


class RunningAttempt(Protocol):
    """An attempt in progress."""

    @property
    def path_lost(self) -> bool:
        """Whether the path to the endpoint was lost after the attempt was sent."""
        ...

    @property
    def via(self) -> str:
        """The instance through which it was sent; empty for none."""
        ...

    @property
    def connection_number(self) -> int:
        """The number of its connection; 0 if it was not sent."""
        ...

    @property
    def calls_before(self) -> int:
        """The calls that its connection had carried before it."""
        ...

    def cancel(self) -> None:
        """Close its connection, so that the endpoint stops working on it."""
        ...

    def pause_reading(self) -> None:
        """Stop reading the response."""
        ...

    def resume_reading(self) -> None:
        """Go on reading the response."""
        ...


class AttemptPort(Protocol):
    """Sends attempts."""

    def send(
        self, attempt: OutboundAttempt, listener: AttemptListener
    ) -> RunningAttempt:
        """Start an attempt; no event is reported before this method has returned."""
        ...

    def probe(
        self,
        endpoint: EndpointEntry,
        on_result: Callable[[EngineLoad | None], None],
        permit: Permit | None = None,
    ) -> None:
        """Request an engine's load; report None if it does not respond in time."""
        ...

    def copy(
        self,
        endpoint: EndpointEntry,
        order: CopyOrder,
        timeout_ms: int,
        on_result: Callable[[CopyResult], None],
        permit: Permit | None = None,
    ) -> None:
        """Copy the memory of a run to another engine; one result is reported later."""
        ...

    def release(
        self, endpoint: EndpointEntry, handle: str, permit: Permit | None = None
    ) -> None:
        """Free a copy; one that cannot be freed now expires at its engines."""
        ...

    def check_path(
        self,
        endpoint: EndpointEntry,
        on_unreachable: Callable[[], None] | None = None,
    ) -> None:
        """Check whether new connections to an unresponsive endpoint can be opened."""
        ...


class TimerHandle(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """Cancel the timer."""
        ...


class TimerPort(Protocol):
    """Sets timers."""

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Call *callback* once, after a delay."""
        ...
