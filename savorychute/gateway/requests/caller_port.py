"""The caller's side of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.requests.refusal import Refusal


class CallerPort(Protocol):
    """How an answer reaches the caller; a no-op once the caller has left."""

    def respond(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer of an endpoint."""
        ...

    def begin(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the head of an answer whose body follows in parts."""
        ...

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        ...

    def finish(self) -> None:
        """End an answer that is whole."""
        ...

    def cut(self) -> None:
        """End an answer so that it cannot be taken for a whole one."""
        ...

    def refuse(self, refusal: Refusal) -> None:
        """Send an answer of the gateway's own."""
        ...
