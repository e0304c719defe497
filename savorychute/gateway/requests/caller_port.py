"""Interface for sending the response to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.requests.refusal import Refusal


class CallerPort(Protocol):
    """Sends a response to the caller; does nothing once the caller has disconnected."""

    def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete response of an endpoint."""
        ...

    def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of a response whose body follows in parts."""
        ...

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        ...

    def finish(self) -> None:
        """End a complete response."""
        ...

    def abort(self) -> None:
        """End a response so that it cannot be mistaken for a complete one."""
        ...

    def refuse(self, refusal: Refusal) -> None:
        """Send an error response that the gateway itself generates."""
        ...
