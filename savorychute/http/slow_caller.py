"""Why a server ended a response whose caller reads slowly."""

from __future__ import annotations

from enum import Enum


class SlowCallerReason(Enum):
    """The limit that a slow caller exceeded.

    ``RESPONSE``: too much of its response is unread.  ``MEMORY``: all callers together
    leave too much unread, and this one would take the longest to read its part.
    ``STALLED``: it has read nothing for some time.
    """

    RESPONSE = 'response'
    MEMORY = 'memory'
    STALLED = 'stalled'
