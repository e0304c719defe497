"""The endpoint's side of one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_entry import EndpointEntry
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.permits.permit import Permit
    from savorychute.gateway.requests.endpoint_answer import EndpointAnswer
    from savorychute.gateway.requests.outbound_attempt import OutboundAttempt
    from savorychute.http.call_failure import CallFailure


class AttemptListener(Protocol):
    """Who is told of an attempt's answer; nothing comes after a cancel."""

    def may_send(self) -> bool:
        """Return whether the attempt is still wanted; no byte has left yet."""
        ...

    def attempt_withheld(self) -> None:
        """Take in that nothing is sent, since the endpoint takes it no longer."""
        ...

    def answer_began(self, answer: EndpointAnswer) -> None:
        """Take the head of the answer."""
        ...

    def answer_data(self, data: bytes) -> None:
        """Take a part of its body."""
        ...

    def answer_ended(self) -> None:
        """Take the end of a whole answer."""
        ...

    def attempt_failed(self, failure: CallFailure) -> None:
        """Take the failure; nothing follows."""
        ...


class RunningAttempt(Protocol):
    """An attempt under way."""

    def cancel(self) -> None:
        """Close its connection, so that the endpoint stops working on it."""
        ...


class AttemptPort(Protocol):
    """Sends attempts."""

    def send(
        self, attempt: OutboundAttempt, listener: AttemptListener
    ) -> RunningAttempt:
        """Start an attempt; no event comes before this method has returned."""
        ...

    def probe(
        self,
        endpoint: EndpointEntry,
        on_result: Callable[[EngineLoad | None], None],
        permit: Permit | None = None,
    ) -> None:
        """Ask an engine for its load; tell None if it does not answer in time."""
        ...


class TimerHandle(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """Let it not go off."""
        ...


class TimerPort(Protocol):
    """Sets timers."""

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Call back once, after a delay."""
        ...
