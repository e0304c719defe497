"""The engines that are expected to end an answer before its caller's deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.admission.deadline_check import OTHER_ENGINE_FACTOR
from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.dispatch.engine_state import (
    RECENT_REPORT_MS,
    failure_cost_ms,
    has_recent_report,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.admission.deadline_check import (
        DeadlineCheck,
        ExpectedEnd,
    )
    from savorychute.gateway.dispatch.finish_forecast import FinishForecast
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# Engines whose load is queried before a request is refused.  The best of a few random
# ones is nearly as good as the best of all.
MAX_QUERIED = 4

# Longest wait at an engine that takes a request which its home refuses, and the largest
# age of the report that shows it.
MAX_IDLE_WAIT_MS = 120.0
IDLE_REPORT_MS = 400


class TimelyEngine(NamedTuple):
    """An engine, and when it is expected to end an answer."""

    record: EndpointRecord
    expected: ExpectedEnd


class TimelyEngines:
    """Evaluates the engines of all partitions and failure domains for one service.

    :param check: predicts whether answers are in time.
    :param finish: predicts answers.
    :param rng: draws engines.
    """

    def __init__(
        self, check: DeadlineCheck, finish: FinishForecast, rng: random.Random
    ) -> None:
        self._check = check
        self._finish = finish
        self._rng = rng

    def evaluate(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> list[TimelyEngine]:
        """Return the engines whose load is known, the one that ends earliest first.

        Each is assumed to prefill the whole prompt.

        :param records: the candidates.
        :param requirements: requirements of the request.
        :param now_ms: the current time.
        """
        prompt = requirements.prompt
        tokens = 0 if prompt is None else prompt.tokens
        engines = []
        for record in records:
            expected = self._check.expect_end(
                self._finish, record, requirements, tokens, now_ms
            )
            if expected is not None:
                end_ms = expected.end_ms + failure_cost_ms(record, now_ms)
                engines.append(TimelyEngine(record, expected._replace(end_ms=end_ms)))
        return sorted(engines, key=lambda each: each.expected.end_ms)

    def draw(self, engines: Sequence[TimelyEngine]) -> TimelyEngine | None:
        """Return a random engine that is expected to be in time; None if there is none.

        All instances see the same reports, and would otherwise send to one engine.  The
        weight of an engine is the time that it leaves to spare.

        :param engines: evaluated engines.
        """
        timely = [
            each for each in engines if each.expected.share <= OTHER_ENGINE_FACTOR
        ]
        if not timely:
            return None
        weights = [each.expected.left_ms - each.expected.end_ms for each in timely]
        return self._rng.choices(timely, weights)[0]

    def select_idle(
        self, engines: Sequence[TimelyEngine], now_ms: int
    ) -> list[TimelyEngine]:
        """Return the engines that are known to start a prompt soon.

        :param engines: evaluated engines.
        :param now_ms: the current time.
        """
        return [
            each
            for each in engines
            if each.expected.wait_ms <= MAX_IDLE_WAIT_MS
            and has_recent_report(each.record, now_ms, IDLE_REPORT_MS)
        ]

    def to_query(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return engines to query before a request is refused.

        :param records: the candidates.
        :param now_ms: the current time.
        """
        outdated = [
            each
            for each in records
            if not has_recent_report(each, now_ms, RECENT_REPORT_MS)
        ]
        return self._rng.sample(outdated, min(MAX_QUERIED, len(outdated)))


def timely_choice(engine: TimelyEngine, requirements: RequestRequirements) -> Choice:
    """Return an engine as a choice for a request.

    :param engine: the engine, which has to prefill the whole prompt.
    :param requirements: requirements of the request.
    """
    prompt = requirements.prompt
    return Choice(
        engine.record,
        0 if prompt is None else prompt.tokens,
        engine.expected.end_ms,
        engine.expected.wait_ms,
        load_known=True,
        rank=requirements.rank,
    )
