"""The phase of a key at the instance that decides it."""

from __future__ import annotations

from enum import Enum, auto


class KeyPhase(Enum):
    """The phases of a key; the last three are final.

    ``HELD``: granted to a request, start not announced.  ``ANNOUNCED``: a start
    notice was sent to the witness, which has not responded.  ``STARTED``: the
    request may be sent to an endpoint.
    """

    HELD = auto()
    ANNOUNCED = auto()
    STARTED = auto()
    RAN = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()


FINAL_PHASES = frozenset({KeyPhase.RAN, KeyPhase.NOT_RUN, KeyPhase.UNKNOWN})
