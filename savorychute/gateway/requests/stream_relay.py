"""The events of one answer, by whichever endpoints they come."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.requests.event_splitter import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.requests.caller_port import CallerPort


class StreamRelay:
    """Passes whole events on and knows where another endpoint has to go on.

    :param caller: who gets them.
    :param last_event: the id of the last event that the caller has already.
    """

    def __init__(self, caller: CallerPort, last_event: str) -> None:
        self._caller = caller
        self._splitter = EventSplitter()
        self.last_event = last_event
        self.begun = False
        self.events = 0

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is held."""
        return self._splitter.rest_bytes == 0

    def restart(self) -> None:
        """Drop the part of an event that the last endpoint left behind."""
        self._splitter = EventSplitter()

    def take(
        self, data: bytes, status: int, headers: Sequence[tuple[str, str]]
    ) -> bool:
        """Pass on the events that more bytes complete; return whether there were any.

        The head goes out with the first event: until then another endpoint's head
        could still take its place.

        :param data: bytes of the endpoint's body.
        :param status: the status of its answer.
        :param headers: its headers that are passed on.
        """
        passed = []
        for event in self._splitter.feed(data):
            if not self._is_next(event.event_id):
                continue
            passed.append(event.data)
            if event.event_id:
                self.last_event = event.event_id
        if not passed:
            return False
        if not self.begun:
            self.begun = True
            self._caller.begin(status, headers)
        self._caller.send(b''.join(passed))
        self.events += len(passed)
        return True

    def _is_next(self, event_id: str) -> bool:
        """Return whether an event comes after the last one; ids grow.

        An endpoint that goes on may repeat what the one before had sent already.
        """
        if not event_id.isdecimal() or not self.last_event.isdecimal():
            return True
        return int(event_id) > int(self.last_event)
