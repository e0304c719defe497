"""The caller's side of a request, as an instance sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from savorychute.actions import (
        FinishResponse,
        RefuseRequest,
        SendChunk,
        StartResponse,
    )
    from savorychute.testing.call import Call


class CallerConnection(Protocol):
    """Receives the response of an instance."""

    call: Call

    def started(self, response: StartResponse) -> None:
        """Handle the head of a response."""
        ...

    def received(self, chunk: SendChunk) -> None:
        """Handle a part of an answer."""
        ...

    def finished(self, finish: FinishResponse) -> None:
        """Handle the end of a started response."""
        ...

    def refused(self, refuse: RefuseRequest) -> None:
        """Handle a refusal."""
        ...

    def broken(self) -> None:
        """Handle a broken connection."""
        ...
