"""How far a key has come at the instance that decides it."""

from __future__ import annotations

from enum import Enum, auto


class KeyPhase(Enum):
    """The phases of a key; the last three are final.

    ``HELD``: taken up by a request, nothing announced.  ``ANNOUNCED``: the
    witness was told, and has not answered.  ``STARTED``: bytes may leave.
    """

    HELD = auto()
    ANNOUNCED = auto()
    STARTED = auto()
    RAN = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()


FINAL_PHASES = frozenset({KeyPhase.RAN, KeyPhase.NOT_RUN, KeyPhase.UNKNOWN})
