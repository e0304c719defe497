"""What is known of a member."""

from __future__ import annotations

from enum import IntEnum


class MemberState(IntEnum):
    """States in the order in which they override each other.

    At the same incarnation and counter the larger state wins.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
