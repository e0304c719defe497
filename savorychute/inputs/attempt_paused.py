"""An attempt whose response is not being read."""

from __future__ import annotations

from typing import NamedTuple


class AttemptPaused(NamedTuple):
    """The host has paused reading because the caller reads too slowly.

    Delivered repeatedly during the pause, so that the missing progress is not
    taken for an unresponsive endpoint.
    """

    attempt_id: str
