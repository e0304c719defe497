"""Forwards the events of one stream, which several endpoints may supply in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.event_splitter import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.requests.caller_port import CallerPort


class StreamRelay:
    """Forwards complete events and tracks where another endpoint has to resume.

    :param caller: the caller that receives the events.
    :param last_event: the id of the last event that the caller has already received.
    :param on_begin: called before the first event is forwarded.
    """

    def __init__(
        self, caller: CallerPort, last_event: str, on_begin: Callable[[], None]
    ) -> None:
        self._caller = caller
        self._on_begin = on_begin
        self._splitter = EventSplitter()
        self.last_event = last_event
        self.started = False
        self.events = 0
        # Whether an event without an id was forwarded; nothing can follow it elsewhere.
        self._has_unnumbered = False

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return self._splitter.partial_bytes == 0

    @property
    def can_resume(self) -> bool:
        """Whether another endpoint can tell what the caller has received."""
        return not self._has_unnumbered

    @property
    def is_event_too_large(self) -> bool:
        """Whether the endpoint has sent an event above the limit."""
        return self._splitter.is_too_large

    def restart(self) -> None:
        """Discard the incomplete event of the previous endpoint."""
        self._splitter = EventSplitter()

    def forward(
        self, data: bytes, status: int, headers: Sequence[tuple[str, str]]
    ) -> bool:
        """Forward the events that these bytes complete; return whether there were any.

        The head is sent with the first event: until then another endpoint's head can
        still replace it.

        :param data: bytes of the endpoint's body.
        :param status: the status of its response.
        :param headers: the response headers to forward.
        """
        forwarded = []
        for event in self._splitter.feed(data):
            if not self._is_next(event.event_id):
                continue
            forwarded.append(event.data)
            if event.event_id:
                self.last_event = event.event_id
            else:
                self._has_unnumbered = True
        if not forwarded:
            return False
        if not self.started:
            self.started = True
            self._on_begin()
            self._caller.start(status, headers)
        self._caller.send(b''.join(forwarded))
        self.events += len(forwarded)
        return True

    def _is_next(self, event_id: str) -> bool:
        """Return whether an event follows the last one; ids increase.

        An endpoint that resumes a stream may resend events of the previous endpoint.
        """
        if not event_id.isdecimal() or not self.last_event.isdecimal():
            return True
        return int(event_id) > int(self.last_event)
