"""The caller's end of a request, as an instance sees it."""

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


class CallerPort(Protocol):
    """Takes what an instance answers."""

    call: Call

    def started(self, response: StartResponse) -> None:
        """Take the head of an answer."""
        ...

    def received(self, chunk: SendChunk) -> None:
        """Take a part of an answer."""
        ...

    def finished(self, finish: FinishResponse) -> None:
        """Take the end of an answer that was begun."""
        ...

    def refused(self, refuse: RefuseRequest) -> None:
        """Take a refusal."""
        ...

    def broken(self) -> None:
        """Note that the connection broke."""
        ...
