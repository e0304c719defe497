"""Statements of an endpoint about itself in a response."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class StatementKind(Enum):
    """Subject of a statement; a backoff is called rest on the wire and in logs."""

    LIMIT = 'limit'
    LEAVING = 'leaving'
    REST = 'rest'


class UnreadableStatement(NamedTuple):
    """A statement without a valid value of its kind."""

    kind: StatementKind
    text: str


class EndpointStatement(NamedTuple):
    """Statements in the head of a response, in addition to the response itself.

    ``limit_per_s`` is the number of calls per second that the endpoint accepts from all
    instances together, None if it states no limit.  ``leaving`` is true for an endpoint
    that will end.  ``backoff_ms`` is for how long it accepts no requests from this
    instance.  A statement that is ``unreadable`` neither states anything nor revokes an
    earlier one.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    backoff_ms: int = 0
    unreadable: tuple[UnreadableStatement, ...] = ()

    def is_unreadable(self, kind: StatementKind) -> bool:
        """Return whether a statement of this kind is unreadable.

        :param kind: kind of the statement.
        """
        return any(each.kind is kind for each in self.unreadable)
