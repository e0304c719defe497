"""Whether and where a request may run, by the crashes that it may cause."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from savorychute.crashes.verdict import Verdict


class CrashDecisionKind(Enum):
    """``CONFINED``: only at the endpoint that the lane selects."""

    FREE = auto()
    CONFINED = auto()
    REFUSED = auto()
    TRIAL = auto()


class CrashDecision(NamedTuple):
    """A decision on a request.

    ``lane`` is a number that all instances derive alike from the suspected traits, so
    that the requests with them meet at one endpoint.  ``verdict`` is the verdict on a
    refused request or a trial.
    """

    kind: CrashDecisionKind
    lane: int = 0
    verdict: Verdict | None = None


FREE = CrashDecision(CrashDecisionKind.FREE)
