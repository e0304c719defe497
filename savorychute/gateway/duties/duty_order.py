"""Sender and result of calls to the platform that only the holder of duties makes."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class DutyOrder(NamedTuple):
    """The holder that makes a call, and its fencing number, which a later one exceeds."""

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
