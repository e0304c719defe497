"""How often answers are late that were predicted to be late, by class."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.decaying_sum import DecayingSum
from savorychute.gateway.requests.rank import tier_of

if TYPE_CHECKING:
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements

# Outcomes count for about this long: a forecast that is wrong for a class in one state
# of its engines may be right in the next.
OUTCOME_DECAY_S = 10.0
# Late answers assumed before any were observed, and the largest share of requests to
# refuse.  The remainder is sent and shows whether the forecast is right, so that a wrong
# one cannot starve a class or its long requests.
PRIOR_LATE = 4.0
MAX_REFUSED_SHARE = 0.9


class RequestClass(NamedTuple):
    """Requests of a service that have the same tier and objectives."""

    service: str
    tier: int
    target_ms: int
    gap_target_ms: int


class _Outcomes(NamedTuple):
    late: DecayingSum
    in_time: DecayingSum


def class_of(service: str, requirements: RequestRequirements) -> RequestClass:
    """Return the class of a request.

    :param service: the service that it is for.
    :param requirements: its requirements.
    """
    return RequestClass(
        service,
        tier_of(requirements.rank),
        requirements.target_ms,
        requirements.gap_target_ms,
    )


class LateAnswers:
    """Counts the outcomes of requests that were sent although predicted to be late."""

    def __init__(self) -> None:
        self._outcomes: defaultdict[RequestClass, _Outcomes] = defaultdict(
            lambda: _Outcomes(
                DecayingSum(OUTCOME_DECAY_S), DecayingSum(OUTCOME_DECAY_S)
            )
        )

    def record(self, request_class: RequestClass, late: bool, now_ms: int) -> None:
        """Count one request that has ended.

        :param request_class: its class.
        :param late: whether its caller had no whole answer at the deadline.
        :param now_ms: the current time.
        """
        outcomes = self._outcomes[request_class]
        (outcomes.late if late else outcomes.in_time).add(1.0, now_ms)

    def refused_share(self, request_class: RequestClass, now_ms: int) -> float:
        """Return the share to refuse of requests that are predicted to be late.

        :param request_class: their class.
        :param now_ms: the current time.
        """
        outcomes = self._outcomes.get(request_class)
        if outcomes is None:
            return MAX_REFUSED_SHARE
        late = outcomes.late.value(now_ms) + PRIOR_LATE
        return min(MAX_REFUSED_SHARE, late / (late + outcomes.in_time.value(now_ms)))
