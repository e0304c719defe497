"""The calls that copy the memory of a run, and their outcomes."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.http.client_pool import ServerAddress


class CopyOrder(NamedTuple):
    """Asks the engine of a run to copy the run's memory to a target.

    ``attempt_id`` names the run.  With ``is_last`` the run stops first, and its stream
    is closed without its end.
    """

    attempt_id: str
    target: ServerAddress
    is_last: bool


class CopyOutcome(Enum):
    """How a call ended.

    ``REFUSED``: the target has no room or cannot be reached.  ``BUSY``: a call for this
    run is in progress.  ``LOST``: there is no response, so the copy may be complete.
    ``UNSENT``: nothing was sent.  ``UNREADABLE``: the response means nothing here.
    """

    COPIED = auto()
    REFUSED = auto()
    UNKNOWN_RUN = auto()
    BUSY = auto()
    LOST = auto()
    UNSENT = auto()
    UNREADABLE = auto()


class CopyResult(NamedTuple):
    """The outcome of a call; ``handle`` is empty if the response names none.

    ``created`` is the number of events that the run had generated.
    """

    outcome: CopyOutcome
    handle: str = ''
    created: int = 0
