"""What an endpoint says of itself in an answer."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class StatementKind(Enum):
    """What a statement is about."""

    LIMIT = 'limit'
    LEAVING = 'leaving'
    REST = 'rest'


class UnreadableStatement(NamedTuple):
    """A statement that holds no value of its kind."""

    kind: StatementKind
    text: str


class EndpointStatement(NamedTuple):
    """What the head of an answer states beside the answer itself.

    ``limit_per_s`` is how many calls a second the endpoint takes from all instances
    together; None where it states no limit.  ``leaving`` is true for one that will end.
    ``rest_ms`` is for how long it wants nothing of this instance.  What is ``unreadable``
    neither states anything nor takes back what was stated before.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    rest_ms: int = 0
    unreadable: tuple[UnreadableStatement, ...] = ()

    def is_unreadable(self, kind: StatementKind) -> bool:
        """Return whether something was stated that cannot be read.

        :param kind: of the statement.
        """
        return any(each.kind is kind for each in self.unreadable)
