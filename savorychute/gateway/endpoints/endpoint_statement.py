"""What an endpoint says of itself in an answer."""

from __future__ import annotations

from typing import NamedTuple


class UnreadableStatement(NamedTuple):
    """A statement that holds no value of its kind."""

    kind: str
    text: str


class EndpointStatement(NamedTuple):
    """What the head of an answer states beside the answer itself.

    ``limit_per_s`` is how many calls a second the endpoint takes from all instances
    together; None where it states no limit.  What is ``unreadable`` neither states
    anything nor takes back what was stated before.
    """

    limit_per_s: float | None = None
    unreadable: UnreadableStatement | None = None
