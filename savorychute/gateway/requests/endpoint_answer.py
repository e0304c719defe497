"""The head of an endpoint's answer, decoded."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class AnswerKind(Enum):
    """What an answer says about the execution of its request."""

    SUCCESS = auto()
    FAILURE = auto()
    NOT_RUN = auto()
    OTHER_ENDPOINT = auto()
    FOREIGN = auto()


class EndpointAnswer(NamedTuple):
    """Status, headers to pass on, and what the answer means.

    ``NOT_RUN``: the endpoint states that it did not run the request.
    ``OTHER_ENDPOINT``: another endpoint has the address now; the request did not run.
    ``FOREIGN``: the answer belongs to another request, or lacks the proof that an
    endpoint made it.  ``is_stream`` is true for a series of events.
    """

    kind: AnswerKind
    status: int
    headers: Sequence[tuple[str, str]]
    is_stream: bool
    retry_after_ms: int = 0
