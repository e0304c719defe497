"""Choice among the homes of a long shared prompt and other engines of uneven speed."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.chooser import (
    BOUNDED,
    HOME,
    IN_TIME,
    SECOND_HOME,
    TRIAL,
)
from savorychute.gateway.dispatch.engine_state import (
    failure_cost_ms,
    has_recent_report,
    has_usable_report,
    usable_load,
)
from savorychute.gateway.dispatch.partition_demand import GENERATION_MS_PER_TOKEN
from savorychute.gateway.dispatch.prompt_demand import PromptDemand

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.engine_models import EngineModels
    from savorychute.gateway.dispatch.finish_forecast import (
        FinishEstimate,
        FinishForecast,
    )
    from savorychute.gateway.dispatch.home_ranking import HomeRanking
    from savorychute.gateway.dispatch.partition_demand import PartitionDemand
    from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.requests.prompt import Prompt

# Share of an engine's time from which the requests with one prompt get a further home.
# With 0.4, 751 requests failed instead of 427 when 28 % of each class had one prompt.
MAX_HOME_SHARE = 0.12
# A home is overloaded if it has this many times the mean load of the engines with a
# usable report, by capacity, and some requests more.  With 1.25 times, so many requests
# left that the repeated prefills cost more than the balance gained.
OVERLOAD_FACTOR = 2.0
OVERLOAD_REQUESTS = 2.0
MIN_COMPARED = 3
# Engines that miss the gap target beside prefills are no homes if the others have at
# least this share of the capacity.
MIN_SUITED_SHARE = 0.5
# Added to the expected time of the first event at each of several homes, so that a small
# difference between two short times does not decide.
HOME_DRAW_MS = 50.0
# Maximum age of a report by which a request leaves its homes.
SUBSTITUTE_REPORT_MS = 400
# How long the prefill of a prompt delays those that are served beside it: the request
# itself, those that arrive until the engine has no queue (four at four fifths of its
# capacity), each prompt that waits, and to a tenth each running stream, whose gaps are
# short compared with its targets.
ALWAYS_DELAYED = 5.0
STREAM_DELAY_SHARE = 0.1
# An engine whose speed is below this is tried now and then, by this share of requests
# and only if the newest observation of it is older than this.
TRIAL_SPEED = 0.8
TRIAL_SHARE = 0.02
TRIAL_AGE_MS = 2_000


class Placement(NamedTuple):
    """An engine for a request, the expected times of its answer, and the reason."""

    record: EndpointRecord
    fresh_tokens: int
    estimate: FinishEstimate
    reason: str


class HomeSelection:
    """Places requests with a long shared prompt on engines that are known to differ.

    A request goes to a home of its prompt.  If it would miss its objective there, it
    goes to the first engine of the ranking that meets it, provided that it gains more
    time than the repeated prefill takes from the requests at that engine.  The order of
    the ranking concentrates those that leave a home on the same next engine.

    :param homes: ranks engines for a prompt.
    :param speeds: tells the speeds of engines.
    :param models: learned models of engines.
    :param finish: predicts answers.
    :param demand: tells the number of instances.
    :param rng: draws homes and trials.
    """

    def __init__(
        self,
        homes: HomeRanking,
        speeds: PlacementSpeeds,
        models: EngineModels,
        finish: FinishForecast,
        demand: PartitionDemand,
        rng: random.Random,
    ) -> None:
        self._homes = homes
        self._speeds = speeds
        self._models = models
        self._finish = finish
        self._demand = demand
        self._rng = rng
        self._prompts = PromptDemand()

    def rank(
        self, partition: Sequence[EndpointRecord], requirements: RequestRequirements
    ) -> list[EndpointRecord]:
        """Return the engines that suit a request, the first home of its prompt first.

        :param partition: engines of one service, at least one.
        :param requirements: requirements of a request with a prompt.
        """
        prompt = requirements.prompt
        assert prompt is not None
        weights = self._speeds.weights(partition)
        if weights is not None and requirements.gap_target_ms:
            partition, weights = self._select_suited(
                partition, weights, requirements.gap_target_ms
            )
        return self._homes.order(partition, prompt.affinity, weights)

    def select(
        self,
        partition: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Placement:
        """Return the engine for a request.

        :param partition: engines of one service, at least one.
        :param requirements: requirements of a request with a long shared prompt.
        :param now_ms: the current time.
        """
        prompt = requirements.prompt
        assert prompt is not None
        trial = self._select_trial(partition, requirements, now_ms)
        if trial is not None:
            return trial
        ranked = self.rank(partition, requirements)
        size = self._count_homes(ranked[0], prompt, now_ms)
        placements = [
            self._place(record, requirements, now_ms, reason, is_home=True)
            for record, reason in zip(
                ranked, [HOME] + [SECOND_HOME] * (size - 1), strict=False
            )
        ]
        placement = placements[0]
        if len(placements) > 1:
            weights = [self._weigh_home(each, now_ms) for each in placements]
            placement = self._rng.choices(placements, weights)[0]
        if not _meets(placement.estimate, requirements, now_ms):
            substitutes = self._list_substitutes(
                placement, ranked, size, requirements, IN_TIME, now_ms
            )
        elif self._is_overloaded(placement.record, partition, now_ms):
            substitutes = [
                each
                for each in self._list_substitutes(
                    placement, ranked, size, requirements, BOUNDED, now_ms
                )
                if not self._is_overloaded(each.record, partition, now_ms)
            ]
        else:
            return placement
        return self._draw_substitute(substitutes) or placement

    def _is_overloaded(
        self,
        record: EndpointRecord,
        partition: Sequence[EndpointRecord],
        now_ms: int,
    ) -> bool:
        """Return whether an engine is known to have more than its share of the load."""
        if not has_usable_report(record, now_ms):
            return False
        if _count_requests(record) <= OVERLOAD_REQUESTS * self._speeds.relative(record):
            return False
        reported = [each for each in partition if has_usable_report(each, now_ms)]
        if len(reported) < MIN_COMPARED:
            return False
        weights = self._speeds.weights(reported) or [1.0] * len(reported)
        loads = [_count_requests(each) for each in reported]
        mean = sum(loads) / sum(weights)
        position = reported.index(record)
        load = loads[position] / weights[position]
        return load > OVERLOAD_FACTOR * mean + OVERLOAD_REQUESTS

    def _select_suited(
        self,
        partition: Sequence[EndpointRecord],
        weights: list[float],
        gap_target_ms: int,
    ) -> tuple[Sequence[EndpointRecord], list[float]]:
        """Return the engines that meet a gap target while they prefill."""
        model = self._models.for_service(partition[0].entry.service)
        min_speed = model.prefill_gap_ms / gap_target_ms
        if min(weights) >= min_speed:
            return partition, weights
        suited = [
            (record, weight)
            for record, weight in zip(partition, weights, strict=True)
            if weight >= min_speed
        ]
        suited_weights = [weight for _, weight in suited]
        if sum(suited_weights) < MIN_SUITED_SHARE * sum(weights):
            return partition, weights
        return [record for record, _ in suited], suited_weights

    def _count_homes(self, first: EndpointRecord, prompt: Prompt, now_ms: int) -> int:
        """Return how many homes the demand for a prompt calls for.

        Only earlier requests count: with 70 instances, one request of this instance
        would stand for the time of a whole engine.
        """
        model = self._models.for_service(first.entry.service)
        work_ms = model.prefill_ms(prompt.tokens - prompt.shared_tokens)
        work_ms += GENERATION_MS_PER_TOKEN * prompt.answer_tokens / first.entry.slots
        engines = self._prompts.engines(prompt.affinity, now_ms, self._demand.instances)
        self._prompts.add(prompt.affinity, work_ms, now_ms)
        return max(1, ceil(engines / MAX_HOME_SHARE - 0.5))

    def _weigh_home(self, placement: Placement, now_ms: int) -> float:
        """Return the weight of one of several homes: the less, the later it answers."""
        record = placement.record
        first_event_ms = placement.estimate.first_event_ms
        first_event_ms += failure_cost_ms(record, now_ms)
        return self._speeds.relative(record) / (HOME_DRAW_MS + first_event_ms) ** 2

    def _list_substitutes(
        self,
        home: Placement,
        ranked: Sequence[EndpointRecord],
        size: int,
        requirements: RequestRequirements,
        reason: str,
        now_ms: int,
    ) -> list[Placement]:
        """Return the engines for which a request should leave a home, in their order.

        :param home: the home that was drawn.
        :param ranked: the engines, the homes first.
        :param size: number of homes.
        :param requirements: requirements of the request.
        :param reason: why it would leave.
        :param now_ms: the current time.
        """
        substitutes = []
        for position, record in enumerate(ranked):
            if record is home.record or not has_recent_report(
                record, now_ms, SUBSTITUTE_REPORT_MS
            ):
                continue
            is_home = position < size
            placement = self._place(
                record,
                requirements,
                now_ms,
                SECOND_HOME if is_home else reason,
                is_home=is_home,
            )
            gain_ms = _gain_ms(home.estimate, placement.estimate, requirements, now_ms)
            cost_ms = 0.0
            if not is_home:
                cost_ms = self._repeated_ms(record, requirements, now_ms)
            if gain_ms >= cost_ms and _meets(placement.estimate, requirements, now_ms):
                substitutes.append(placement)
        return substitutes

    def _draw_substitute(self, substitutes: Sequence[Placement]) -> Placement | None:
        """Return one of some engines, mostly the first.

        All instances that see one engine idle would send it their requests until its
        next report, and the next engine of the ranking gets a part of them instead.
        """
        if not substitutes:
            return None
        weights = [1.0 / (1 + position) for position in range(len(substitutes))]
        return self._rng.choices(substitutes, weights)[0]

    def _repeated_ms(
        self, record: EndpointRecord, requirements: RequestRequirements, now_ms: int
    ) -> float:
        """Return the time that a repeated prefill takes from the requests at an engine."""
        prompt = requirements.prompt
        load = usable_load(record, now_ms)
        assert prompt is not None
        assert load is not None
        model = self._models.for_service(record.entry.service)
        prefill_ms = model.prefill_ms(prompt.shared_tokens)
        prefill_ms /= self._speeds.relative(record)
        delayed = ALWAYS_DELAYED + load.waiting + load.prefilling
        return prefill_ms * (delayed + STREAM_DELAY_SHARE * load.generating)

    def _select_trial(
        self,
        partition: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Placement | None:
        """Return a slow engine that was not observed recently, for a few requests."""
        if self._rng.random() >= TRIAL_SHARE:
            return None
        slow = [each for each in partition if self._needs_trial(each, now_ms)]
        if not slow:
            return None
        record = self._rng.choice(slow)
        placement = self._place(record, requirements, now_ms, TRIAL, is_home=False)
        is_possible = _meets_deadline(placement.estimate, requirements, now_ms)
        return placement if is_possible else None

    def _needs_trial(self, record: EndpointRecord, now_ms: int) -> bool:
        entry = record.entry
        speed = self._speeds.speed(entry.run, entry.service, now_ms)
        return speed.relative < TRIAL_SPEED and speed.age_ms > TRIAL_AGE_MS

    def _place(
        self,
        record: EndpointRecord,
        requirements: RequestRequirements,
        now_ms: int,
        reason: str,
        *,
        is_home: bool,
    ) -> Placement:
        prompt = requirements.prompt
        assert prompt is not None
        tokens = prompt.tokens - (prompt.shared_tokens if is_home else 0)
        estimate = self._finish.estimate(record, requirements, tokens, now_ms)
        return Placement(record, tokens, estimate, reason)


def _meets(
    estimate: FinishEstimate, requirements: RequestRequirements, now_ms: int
) -> bool:
    """Return whether an answer is expected within its objective and its deadline."""
    target_ms = requirements.target_ms
    if target_ms and estimate.first_event_ms > target_ms:
        return False
    return _meets_deadline(estimate, requirements, now_ms)


def _meets_deadline(
    estimate: FinishEstimate, requirements: RequestRequirements, now_ms: int
) -> bool:
    end_ms = requirements.end_ms
    return not end_ms or now_ms + estimate.end_ms <= end_ms


def _gain_ms(
    home: FinishEstimate,
    other: FinishEstimate,
    requirements: RequestRequirements,
    now_ms: int,
) -> float:
    """Return the time that a request gains at another engine.

    An answer that its home would not end before the deadline gains until its last event.
    """
    if not _meets_deadline(home, requirements, now_ms):
        return home.end_ms - other.end_ms
    return home.first_event_ms - other.first_event_ms


def _count_requests(record: EndpointRecord) -> int:
    """Return the requests at an engine, by a report and those sent since."""
    load = record.load
    reported = 0 if load is None else load.requests
    return reported + record.unreported_requests()
