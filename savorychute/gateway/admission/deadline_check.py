"""Whether an answer is expected to end before its caller's deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.admission.forecast_correction import ForecastCorrection
from savorychute.gateway.admission.late_answers import LateAnswers, class_of
from savorychute.gateway.dispatch.engine_state import has_usable_report
from savorychute.gateway.dispatch.rank_limits import is_last_tier
from savorychute.gateway.requests.rank import ORGANISATION_LEVELS, tier_of

if TYPE_CHECKING:
    import random

    from savorychute.gateway.dispatch.finish_forecast import FinishForecast
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.dispatch.shortages import Shortages
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# A request is refused only if its answer is predicted to take this multiple of the time
# that is left: forecasts are uncertain, and an answer that is in time after all counts
# more than the work of one that is not.
REFUSAL_FACTOR = 1.25
# It leaves the chosen engine only for one that is predicted to end it with some time to
# spare, since the prompt has to be prefilled again there.
OTHER_ENGINE_FACTOR = 0.9


class ExpectedEnd(NamedTuple):
    """Time until an answer is expected to end, and the time that its caller has left.

    ``wait_ms`` is the time until its first event, without its prefill.  ``predicted_ms`` is the forecast alone, without the correction by earlier answers.
    """

    end_ms: float
    left_ms: int
    predicted_ms: float = 0.0
    wait_ms: float = 0.0

    @property
    def share(self) -> float:
        """The share of the remaining time that the answer is expected to take."""
        return self.end_ms / max(1, self.left_ms)


class SentForecast(NamedTuple):
    """What was expected of a request when it was sent.

    ``predicted_ms`` is 0 if its end was not known.
    """

    sent_ms: int
    predicted_ms: float
    expected_late: bool = False


class DeadlineCheck:
    """Decides whether a request that is predicted to end late should be refused.

    :param rng: draws which requests are refused.
    :param shortages: tells whether all requests of lower tiers are shed.
    """

    def __init__(self, rng: random.Random, shortages: Shortages) -> None:
        self._rng = rng
        self._shortages = shortages
        self._late_answers = LateAnswers()
        self._correction = ForecastCorrection()

    def expect_end(
        self,
        finish: FinishForecast,
        record: EndpointRecord,
        requirements: RequestRequirements,
        fresh_tokens: int,
        now_ms: int,
    ) -> ExpectedEnd | None:
        """Return when an engine would end an answer; None if that is not known.

        If the length of the answer is not known, its first event has to be in time.

        :param finish: predicts answers.
        :param record: the engine.
        :param requirements: requirements of the request.
        :param fresh_tokens: tokens of the prompt that the engine has to prefill.
        :param now_ms: the current time.
        """
        if requirements.prompt is None or not requirements.end_ms:
            return None
        if not has_usable_report(record, now_ms):
            return None
        estimate = finish.estimate(record, requirements, fresh_tokens, now_ms)
        wait_ms = finish.estimate(record, requirements, 0, now_ms).first_event_ms
        is_length_known = requirements.answer_events > 0
        left_ms = requirements.end_ms - now_ms
        if not is_length_known:
            return ExpectedEnd(estimate.first_event_ms, left_ms, wait_ms=wait_ms)
        request_class = class_of(record.entry.service, requirements)
        end_ms = estimate.end_ms * self._correction.factor(request_class)
        return ExpectedEnd(end_ms, left_ms, estimate.end_ms, wait_ms)

    def refuses(
        self,
        service: str,
        requirements: RequestRequirements,
        expected: ExpectedEnd,
        now_ms: int,
    ) -> bool:
        """Return whether to refuse a request that no engine is expected to end in time.

        A request above the last tier is refused only while all requests below it are
        shed; otherwise it is sent, and if it then ends late, that is a shortage for
        which lower tiers are shed.

        :param service: the service that the request is for.
        :param requirements: its requirements.
        :param expected: the earliest expected end at any engine.
        :param now_ms: the current time.
        """
        if expected.share <= REFUSAL_FACTOR:
            return False
        if not self._is_lowest_served(service, requirements.rank, now_ms):
            return False
        request_class = class_of(service, requirements)
        share = self._late_answers.refused_share(request_class, now_ms)
        return self._rng.random() < share

    def _is_lowest_served(self, service: str, rank: int, now_ms: int) -> bool:
        if is_last_tier(rank):
            return True
        rank_below = (tier_of(rank) + 1) * ORGANISATION_LEVELS
        return self._shortages.shed_share(service, rank_below, now_ms) >= 1.0

    def record_outcome(
        self,
        service: str,
        requirements: RequestRequirements,
        sent: SentForecast,
        late: bool,
        now_ms: int,
    ) -> None:
        """Record how a request ended.

        :param service: the service that served it.
        :param requirements: its requirements.
        :param sent: what was expected when it was sent.
        :param late: whether its caller had no whole answer at the deadline.
        :param now_ms: the current time.
        """
        request_class = class_of(service, requirements)
        if sent.expected_late:
            self._late_answers.record(request_class, late, now_ms)
        if sent.predicted_ms:
            taken_ms = now_ms - sent.sent_ms
            self._correction.record(
                request_class, sent.predicted_ms, taken_ms, complete=not late
            )
