"""Chooser for the endpoint that is predicted to start a prompt first."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.chooser import CHOOSERS, Choice
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.engine_partition import EnginePartition
from savorychute.gateway.dispatch.engine_state import (
    failure_cost_ms,
    free_slots,
    has_recent_report,
    has_usable_report,
    is_idle,
    is_nearly_full_for,
    sensitive_stream_headroom,
    suits_sensitive_stream,
)
from savorychute.gateway.dispatch.finish_forecast import FinishForecast
from savorychute.gateway.dispatch.home_ranking import HomeRanking
from savorychute.gateway.dispatch.home_selection import HomeSelection
from savorychute.gateway.dispatch.overflow_weights import OverflowWeights
from savorychute.gateway.dispatch.partition_demand import PartitionDemand
from savorychute.gateway.dispatch.placement_speeds import PlacementSpeeds
from savorychute.gateway.dispatch.rank_limits import is_last_tier
from savorychute.gateway.dispatch.report_selection import ReportSelection
from savorychute.gateway.dispatch.urgent_usage import UsageMonitor, used_share
from savorychute.gateway.dispatch.wait_forecast import WaitForecast

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.requests.prompt import Prompt

# A prefill of a cached prompt elsewhere also delays all requests there, and the users
# pay as much for 13,000 tokens that are prefilled again as for a whole answer.  So a
# request leaves its home only if the wait there exceeds the additional prefill this many
# times.
RECOMPUTE_WEIGHT = 8.0
# Cost of each position in the ranking, so that all instances prefer the same substitute
# when a home is full.
RANKING_STEP_MS = 20.0
# A report is requested only for prompts of at least this size; the prefill of a smaller
# one ends before a report could make a difference.
LARGE_PROMPT_TOKENS = 2_000
# Latency-sensitive streams with a longer prompt use a home: a prefill of it takes more
# than 0.1 s of an engine's time and delays the streams there.
MAX_SPREAD_TOKENS = 8_000
# Maximum wait at an engine that substitutes for a busy home, and maximum age of the
# report that shows this wait.
SUBSTITUTE_WAIT_MS = 120.0
SUBSTITUTE_REPORT_MS = 400
# Share of a partition's slots that streams of higher tiers use before requests above the
# last tier leave it.
MIN_URGENT_SHARE = 0.5
# Latency-sensitive streams are drawn to an engine by this power of its speed: streams on
# a slow engine are late and also hold their slots longer.
STREAM_SPEED_POWER = 2


class _Candidate(NamedTuple):
    record: EndpointRecord
    fresh_tokens: int
    extra_ms: float


@CHOOSERS.register('prompt-cache')
class PromptCacheChooser:
    """Chooses the endpoint with the lowest predicted cost of wait and prefill.

    All instances rank the endpoints for a shared prompt by the same hash, so without
    coordination they send it to the same endpoint, and it is prefilled once.  A request
    moves down the ranking if the predicted wait at the home costs more than another
    prefill.

    :param failure_domain: the failure domain of this instance.
    :param rng: breaks ties and draws engines.
    :param demand: demand for which engines are partitioned; only that of this instance
        if omitted.
    :param models: learned models of engines; initial ones if omitted.
    :param speeds: tells the speed of each engine; the chooser has them read.  All are
        equal if omitted.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        demand: PartitionDemand | None = None,
        models: EngineModels | None = None,
        speeds: PlacementSpeeds | None = None,
    ) -> None:
        self._models = models or EngineModels()
        self._speeds = speeds or PlacementSpeeds()
        self._forecast = WaitForecast(failure_domain, rng, self._models, self._speeds)
        self._reports = ReportSelection(rng, self._forecast)
        self._rng = rng
        self._demand = demand or PartitionDemand()
        self._engine_partition = EnginePartition(self._demand, self._speeds)
        self._overflow = OverflowWeights(self._forecast, self._demand)
        self._homes = HomeRanking()
        finish = FinishForecast(self._forecast, self._models, self._speeds)
        self._selection = HomeSelection(
            self._homes, self._speeds, self._models, finish, self._demand, rng
        )
        self._usages: defaultdict[str, UsageMonitor] = defaultdict(UsageMonitor)

    def endpoints_to_query(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> list[EndpointRecord]:
        """Return the engines whose load should be queried before the choice."""
        prompt = requirements.prompt
        if prompt is None:
            return []
        self._speeds.update(records, now_ms)
        partition = self._partition(records, requirements)
        if self._needs_isolation(records, requirements):
            return self._reports.for_sensitive_stream(
                records, partition, requirements, now_ms
            )
        if requirements.any_engine or _is_crowded(partition, requirements, now_ms):
            return self._reports.for_any_engine(records, now_ms)
        if prompt.tokens < LARGE_PROMPT_TOKENS:
            return []
        if self._selects_by_finish(partition, prompt):
            ranked = self._selection.rank(partition, requirements)
        else:
            ranked = self._rank_engines(partition, prompt)
        return self._reports.for_home(ranked, requirements, now_ms)

    def choose(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice:
        """Return the endpoint with the lowest predicted cost."""
        entry = records[0].entry
        self._speeds.update(records, now_ms)
        model = self._models.for_service(entry.service)
        self._demand.record_request(requirements, now_ms, model, entry.slots)
        partition = self._partition(records, requirements)
        if model.needs_isolation(requirements):
            return self._choose_for_sensitive_stream(
                records, partition, requirements, now_ms
            )
        if _is_crowded(partition, requirements, now_ms):
            return self._choose_from_all(records, requirements, now_ms)
        choice = self._choose_best(partition, requirements, now_ms)
        if not is_last_tier(requirements.rank):
            return choice
        usage = self._usages[entry.service].measure(records, requirements.rank, now_ms)
        return choice._replace(urgent_usage=usage)

    def _choose_for_sensitive_stream(
        self,
        records: Sequence[EndpointRecord],
        partition: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice:
        """Return an engine for a stream that would miss its gap target beside prefills.

        Engines of its partition are preferred.  Otherwise any engine serves it, as its
        prompt is short and passes the queue: late events are better than none, and than
        the preemption of other streams.
        """
        rank = requirements.rank
        # On uneven engines each instance counts the streams that the others send too:
        # a fast engine draws most of them.
        is_uneven = self._speeds.is_uneven(records[0].entry.service)
        instances = self._demand.instances if is_uneven else 1
        headrooms = [
            sensitive_stream_headroom(each, rank, now_ms, instances)
            for each in partition
        ]
        choice = self._draw_for_stream(partition, headrooms, requirements, now_ms)
        choice = choice or self._choose_best(partition, requirements, now_ms)
        if suits_sensitive_stream(choice.record, rank, now_ms):
            return choice._replace(latency_sensitive=True, isolated=True)
        reported = [each for each in records if has_usable_report(each, now_ms)]
        weights = self._overflow.for_stream(reported, rank, now_ms)
        if not any(weights):
            weights = [self._free_slots(each, rank, now_ms) for each in reported]
        fallback = self._draw_for_stream(reported, weights, requirements, now_ms)
        if fallback is None:
            suitable = [
                each for each in records if suits_sensitive_stream(each, rank, now_ms)
            ]
            fallback = self._choose_best(suitable or records, requirements, now_ms)
        return fallback._replace(latency_sensitive=True)

    def _draw_for_stream(
        self,
        engines: Sequence[EndpointRecord],
        weights: Sequence[float],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice | None:
        """Return a random engine for a latency-sensitive stream.

        Such streams have short prompts, so a home saves little; with homes, one engine
        of a partition ran 32 streams while another ran two.  All instances would choose
        the engine with the most headroom at once: 42 streams per second went to an
        engine that had reported free slots, and waited there for 1.8 s.  Returns None
        for a stream that an engine refused, for a long prompt, and if all weights are 0.
        """
        prompt = requirements.prompt
        if prompt is None or prompt.tokens > MAX_SPREAD_TOKENS or requirements.is_retry:
            return None
        if not any(weights):
            return None
        weights = [
            weight * self._speeds.relative(each) ** STREAM_SPEED_POWER
            for each, weight in zip(engines, weights, strict=True)
        ]
        record = self._rng.choices(engines, weights)[0]
        return self._evaluate(
            _Candidate(record, prompt.tokens, 0.0), requirements.rank, now_ms
        )

    def _needs_isolation(
        self, records: Sequence[EndpointRecord], requirements: RequestRequirements
    ) -> bool:
        return self._models.for_service(records[0].entry.service).needs_isolation(
            requirements
        )

    def _choose_best(
        self,
        partition: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice:
        prompt = requirements.prompt
        if prompt is None:
            candidates = [_Candidate(record, 0, 0.0) for record in partition]
        else:
            if self._selects_by_finish(partition, prompt):
                return self._choose_by_finish(partition, requirements, now_ms)
            ranked = self._rank_engines(partition, prompt)
            candidates = self._list_candidates(
                ranked, prompt, requirements.rank, now_ms
            )
        choices = [
            self._evaluate(each, requirements.rank, now_ms) for each in candidates
        ]
        best = min(choices, key=lambda choice: choice.cost_ms)
        if prompt is None or not prompt.affinity or best is choices[0]:
            return best
        if prompt.shared_tokens < LARGE_PROMPT_TOKENS:
            return self._draw_weighted(choices, now_ms)
        return best._replace(
            compared=self._evaluate_queried(partition, requirements.rank, now_ms)
        )

    def _selects_by_finish(
        self, partition: Sequence[EndpointRecord], prompt: Prompt
    ) -> bool:
        """Return whether the expected finish decides where a long shared prompt goes.

        On even engines the wait at its home decides, as before speeds were known.
        """
        return (
            bool(prompt.affinity)
            and prompt.shared_tokens >= LARGE_PROMPT_TOKENS
            and self._speeds.is_uneven(partition[0].entry.service)
        )

    def _choose_by_finish(
        self,
        partition: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice:
        record, fresh_tokens, _, reason = self._selection.select(
            partition, requirements, now_ms
        )
        choice = self._evaluate(
            _Candidate(record, fresh_tokens, 0.0), requirements.rank, now_ms
        )
        return choice._replace(reason=reason)

    def _choose_from_all(
        self,
        records: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> Choice:
        """Return an engine of any partition for a prompt of which little is shared."""
        prompt = requirements.prompt
        tokens = 0 if prompt is None else prompt.tokens
        choices = [
            self._evaluate(_Candidate(each, tokens, 0.0), requirements.rank, now_ms)
            for each in records
            if has_usable_report(each, now_ms)
        ]
        return self._draw(choices, self._overflow.for_prompt(choices, now_ms))

    def _free_slots(self, record: EndpointRecord, rank: int, now_ms: int) -> float:
        return free_slots(record, rank, now_ms, self._demand.instances)

    def _draw_weighted(self, choices: Sequence[Choice], now_ms: int) -> Choice:
        """Return a random engine, weighted by free slots, if a prompt's home is busy.

        Little of the prompt is shared, so any engine serves it nearly as well.  All
        instances would choose the best engine until its next report: 31 notes in half a
        second waited behind streams at one engine until they were abandoned, while
        other engines had free slots.
        """
        weights = [
            self._free_slots(each.record, each.rank, now_ms) / (1.0 + each.cost_ms)
            for each in choices
        ]
        return self._draw(choices, weights)

    def _draw(self, choices: Sequence[Choice], weights: Sequence[float]) -> Choice:
        """Return a random choice, or the cheapest one if all weights are 0."""
        if not any(weights):
            return min(choices, key=lambda choice: choice.cost_ms)
        return self._rng.choices(choices, weights)[0]

    def _evaluate_queried(
        self, partition: Sequence[EndpointRecord], rank: int, now_ms: int
    ) -> tuple[Choice, ...]:
        """Return evaluations of the engines in a partition with a recent report."""
        return tuple(
            self._evaluate(_Candidate(each, 0, 0.0), rank, now_ms)
            for each in partition
            if has_recent_report(each, now_ms, SUBSTITUTE_REPORT_MS)
        )

    def _partition(
        self, records: Sequence[EndpointRecord], requirements: RequestRequirements
    ) -> Sequence[EndpointRecord]:
        """Return the engines that a request may use.

        A latency-sensitive stream that was refused by an engine of its partition may
        use any engine, and so may a request for which its partition has no capacity.
        """
        isolated = self._needs_isolation(records, requirements)
        if requirements.any_engine or (isolated and requirements.is_retry):
            return records
        return self._engine_partition.select(records, isolated=isolated)

    def _evaluate(self, candidate: _Candidate, rank: int, now_ms: int) -> Choice:
        record = candidate.record
        wait_ms = self._forecast.wait_ms(record, rank, now_ms)
        model = self._models.for_service(record.entry.service)
        speed = self._speeds.relative(record)
        prefill_ms = model.prefill_ms(candidate.fresh_tokens) / speed
        return Choice(
            record,
            candidate.fresh_tokens,
            candidate.extra_ms + prefill_ms + wait_ms + failure_cost_ms(record, now_ms),
            wait_ms,
            has_usable_report(record, now_ms),
            idle=is_idle(record, now_ms),
            rank=rank,
            speed=speed,
        )

    def _list_candidates(
        self,
        ranked: Sequence[EndpointRecord],
        prompt: Prompt,
        rank: int,
        now_ms: int,
    ) -> list[_Candidate]:
        """Return the home, and the engines that may substitute for it.

        An engine without a report seems idle to this instance and would get the
        requests that all instances move away from busy engines.  For a large prompt a
        substitute must be nearly idle: if all engines are busy, each prompt that is
        prefilled again takes the time of 4 cached ones, and more homes become busy.
        """
        if not prompt.affinity:
            reported = [each for each in ranked if has_usable_report(each, now_ms)]
            return [_Candidate(each, prompt.tokens, 0.0) for each in reported or ranked]
        home, *others = ranked
        substitutes = [
            (position, each)
            for position, each in enumerate(others)
            if has_usable_report(each, now_ms)
        ]
        if prompt.shared_tokens >= LARGE_PROMPT_TOKENS:
            substitutes = [
                (position, each)
                for position, each in substitutes
                if has_recent_report(each, now_ms, SUBSTITUTE_REPORT_MS)
                and self._forecast.wait_ms(each, rank, now_ms) <= SUBSTITUTE_WAIT_MS
            ]
        elif not substitutes:
            substitutes = list(enumerate(others))
        return [
            _make_home(home, prompt),
            *(
                self._make_substitute(each, position, prompt)
                for position, each in substitutes
            ),
        ]

    def _make_substitute(
        self, record: EndpointRecord, position: int, prompt: Prompt
    ) -> _Candidate:
        """Return a candidate that has to prefill the whole prompt.

        Its cost grows with its position in the ranking.
        """
        model = self._models.for_service(record.entry.service)
        recompute_ms = RECOMPUTE_WEIGHT * model.prefill_ms(prompt.shared_tokens)
        recompute_ms /= self._speeds.relative(record)
        return _Candidate(
            record, prompt.tokens, recompute_ms + RANKING_STEP_MS * position
        )

    def _rank_engines(
        self, partition: Sequence[EndpointRecord], prompt: Prompt
    ) -> list[EndpointRecord]:
        """Return the engines, the home of the prompt first if it has one."""
        if not prompt.affinity:
            return list(partition)
        return self._homes.order(
            partition, prompt.affinity, self._speeds.weights(partition)
        )


def _is_crowded(
    partition: Sequence[EndpointRecord],
    requirements: RequestRequirements,
    now_ms: int,
) -> bool:
    """Return whether a request above the last tier should leave its partition.

    Latency-sensitive streams that exceed their own partition use the slots of the other
    one, and requests that waited there for a slot were abandoned while the dedicated
    engines had free ones.
    """
    prompt = requirements.prompt
    if prompt is None or prompt.shared_tokens >= LARGE_PROMPT_TOKENS:
        return False
    rank = requirements.rank
    if is_last_tier(rank):
        return False
    urgent_share = used_share(partition, rank, now_ms)
    if urgent_share is not None and urgent_share >= MIN_URGENT_SHARE:
        return True
    return all(is_nearly_full_for(each, rank, now_ms) for each in partition)


def _make_home(record: EndpointRecord, prompt: Prompt) -> _Candidate:
    """Return a candidate that has the shared part of the prompt in its cache."""
    return _Candidate(record, prompt.tokens - prompt.shared_tokens, 0.0)
