"""A call to the platform that only the holder of a duty may make."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class DutyOrder(NamedTuple):
    """Who makes a call, and the number by which a later holder is told from it."""

    holder: str
    fencing: int


class DutyOutcome(Enum):
    """How the platform took a call.

    ``FENCED``: another instance has called with a larger number.  ``UNKNOWN``: there was no
    answer that tells, so the call may still be carried out.
    """

    ACCEPTED = auto()
    FENCED = auto()
    UNAVAILABLE = auto()
    UNKNOWN = auto()
