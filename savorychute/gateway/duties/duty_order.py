"""Calls to the platform that are reserved for the holder of a duty."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class DutyOrder(NamedTuple):
    """The sender of a call, and the fencing number that a later holder exceeds."""

    holder: str
    fencing: int


class DutyOutcome(Enum):
    """The result of a call to the platform.

    ``FENCED``: another instance has called with a larger fencing number. ``UNKNOWN``:
    no conclusive response was received, so the platform may still execute the call.
    """

    ACCEPTED = auto()
    FENCED = auto()
    UNAVAILABLE = auto()
    UNKNOWN = auto()
