"""A change of a member's state, for the audit trail."""

from __future__ import annotations

from typing import NamedTuple


class MemberChange(NamedTuple):
    """Who changed from which state to which, when and why.

    ``from_state`` is empty for a member that was unknown.
    """

    instance: str
    incarnation: int
    from_state: str
    to_state: str
    why: str
    at_ms: int
