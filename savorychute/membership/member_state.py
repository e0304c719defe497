"""States of a member."""

from __future__ import annotations

from enum import IntEnum


class MemberState(IntEnum):
    """The states of a member, in order of precedence.

    At the same incarnation and counter the larger state overrides the smaller.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
