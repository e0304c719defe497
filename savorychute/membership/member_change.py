"""A change of a member's state, for the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class MemberChange(NamedTuple):
    """A member's old and new state, with the time and the reason.

    ``from_state`` is empty for a member that was not known before.
    """

    instance: str
    incarnation: int
    from_state: str
    to_state: str
    why: str
    at_ms: int
