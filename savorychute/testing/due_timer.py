"""A timer that advances a stand-in when its next event is due."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.testing.stand_in_http import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable


class DueTimer:
    """Calls a function when the next event is due.

    :param next_event_ms: returns the time of the event on the loop's clock, or None.
    :param on_due: called when the event is due.
    """

    def __init__(
        self, next_event_ms: Callable[[], float | None], on_due: Callable[[], None]
    ) -> None:
        self._next_event_ms = next_event_ms
        self._on_due = on_due
        self._timer: asyncio.TimerHandle | None = None

    def rearm(self) -> None:
        """Reset the timer after a change."""
        self.stop()
        due_ms = self._next_event_ms()
        if due_ms is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_ms / MS_PER_S, self._on_due)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
