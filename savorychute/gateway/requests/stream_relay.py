"""Forwards the events of one stream, which several endpoints may supply in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.event_splitter import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.requests.caller_guard import CallerGuard
    from savorychute.gateway.requests.event_splitter import RawEvent

# Comments, blank lines and repeated events between two events.  Keep-alives of an engine
# are one or two a second.
MAX_FILLER_BYTES = 16 * 1024
MAX_FILLER_BLOCKS = 1_000
# Longer ids are no numbers of events.
MAX_NUMBER_CHARS = 32


class StreamRelay:
    """Forwards complete events and tracks where another endpoint has to resume.

    :param caller: the caller that receives the events.
    :param last_event: the id of the last event that the caller has already received.
    :param on_begin: called before the first event is forwarded.
    :param max_events: the most events that one endpoint may send; None for any number.
    """

    def __init__(
        self,
        caller: CallerGuard,
        last_event: str,
        on_begin: Callable[[], None],
        max_events: int | None = None,
    ) -> None:
        self._caller = caller
        self._on_begin = on_begin
        self._splitter = EventSplitter()
        self.last_event = last_event
        self._last_number = _read_number(last_event)
        self.started = False
        self.events = 0
        self._max_events = max_events
        # Of the current endpoint: its events, the last one's number, and the bytes and
        # blocks of lines since then that belong to no event.
        self._endpoint_events = 0
        self._endpoint_number = -1
        self._filler_bytes = self._filler_blocks = 0
        # Whether the endpoint has sent more than the stream can hold.
        self.is_endless = False
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
        self._endpoint_events = 0
        self._endpoint_number = -1
        self._filler_bytes = self._filler_blocks = 0
        self.is_endless = False

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
            number = _read_number(event.event_id)
            self._count(event, number)
            if self.is_endless:
                break
            if not self._is_next(number):
                continue
            forwarded.append(event.data)
            if event.event_id:
                self.last_event = event.event_id
                self._last_number = number
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

    def _is_next(self, number: int | None) -> bool:
        """Return whether an event follows the last one; ids increase.

        An endpoint that resumes a stream may resend events of the previous endpoint.
        """
        last = self._last_number
        return number is None or last is None or number > last

    def _count(self, event: RawEvent, number: int | None) -> None:
        """Count an event, or bytes that are none: an endpoint repeats no number."""
        is_repeated = number is not None and number <= self._endpoint_number
        if event.is_filler or is_repeated:
            self._filler_bytes += len(event.data)
            self._filler_blocks += 1
            self.is_endless = (
                self._filler_bytes > MAX_FILLER_BYTES
                or self._filler_blocks > MAX_FILLER_BLOCKS
            )
            return
        self._filler_bytes = self._filler_blocks = 0
        self._endpoint_events += 1
        limit = self._max_events
        self.is_endless = limit is not None and self._endpoint_events > limit
        if number is not None:
            self._endpoint_number = number


def _read_number(event_id: str) -> int | None:
    if not event_id.isdecimal() or len(event_id) > MAX_NUMBER_CHARS:
        return None
    return int(event_id)
