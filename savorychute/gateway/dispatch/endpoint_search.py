"""Finds an endpoint for each attempt of one request."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from savorychute.gateway.admission.deadline_check import REFUSAL_FACTOR, SentForecast
from savorychute.gateway.admission.room_forecast import Room, expect_room_ms
from savorychute.gateway.admission.timely_engines import TimelyEngines, timely_choice
from savorychute.gateway.dispatch.chooser import available_records
from savorychute.gateway.dispatch.limited_endpoints import LimitedEndpoints
from savorychute.gateway.dispatch.overload_guard import DEADLINE_LIMIT
from savorychute.gateway.dispatch.rank_limits import is_last_tier
from savorychute.gateway.dispatch.request_requirements import RequestRequirements

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.admission.deadline_check import ExpectedEnd
    from savorychute.gateway.configuration.service import Service
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.crash_check import CrashCheck
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.stream_continuity import StreamContinuity

# Rounds of load reports before a choice: of the most promising engine, then of others.
MAX_REPORT_ROUNDS = 2
# If the wait at the best unlimited engine is longer, limited endpoints are preferred.
LIMITED_PREFERRED_WAIT_MS = 150.0

# While a larger share of the engines leaves, no request of the last tier is sent to
# another engine than its home: the prompts prefilled again there delayed the streams of
# higher tiers once the leaving engines were gone.
MAX_LEAVING_SHARE = 0.2


class NotFound(Enum):
    """Reason why there is no endpoint at present.

    ``PENDING``: load reports or a permit were requested, and the search is called back
    when they arrive.  ``SUSPENDED``: the remaining endpoints are in backoff or have
    used up their stated limits.
    """

    PENDING = auto()
    NONE_LEFT = auto()
    OVERLOADED = auto()
    SUSPENDED = auto()


class EndpointSearch:
    """Chooses among the endpoints that the request was not sent to before.

    :param parts: state and ports shared by all requests.
    :param request: the request.
    :param admitted: its route, service and rank.
    :param continuity: which endpoints may generate its stream.
    :param crash_check: confines the request to one endpoint if it may crash it.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: InboundRequest,
        admitted: AdmittedRequest,
        continuity: StreamContinuity,
        crash_check: CrashCheck,
    ) -> None:
        self._parts = parts
        self._request = request
        self._service = admitted.service
        self._continuity = continuity
        self._crash_check = crash_check
        self._requirements = RequestRequirements(
            request.prompt,
            admitted.route.gap_target_ms,
            admitted.route.target_ms,
            admitted.rank,
            organisation=admitted.organisation,
            end_ms=admitted.end_ms,
            answer_events=_expect_events(request, admitted.service),
            returned=_record_arrival(parts, admitted),
        )
        self._limited = LimitedEndpoints(parts, request, admitted)
        self._attempted: set[EndpointRun] = set()
        self._report_rounds = 0
        self._any_engine = False
        self._queried_timely = False
        # The engine for a retry that is expected to be in time.
        self._timely_retry: EndpointRecord | None = None
        # Decides for all engines that are considered for a request of the last tier.  If
        # each was drawn for anew, few requests would be refused by all of them.
        self._draw: float | None = None
        competition = parts.guard.competition
        if competition is not None and is_last_tier(admitted.rank):
            self._draw = competition.rng.random()
        # What is expected of the last choice; None if that is not known.
        self._forecast: SentForecast | None = None
        # The choice of a limited endpoint for which a permit was granted.
        self._granted: Choice | None = None

    def find(
        self, now_ms: int, can_have_run: bool, on_ready: Callable[[], None]
    ) -> Choice | NotFound:
        """Return an endpoint for the next attempt, or the reason why there is none.

        :param now_ms: the current time.
        :param can_have_run: whether an earlier attempt may have run.  Such a request is
            not refused for overload, because the refusal would state that it did not
            run.
        :param on_ready: called once after ``PENDING`` when the search should continue.
        """
        granted, self._granted = self._granted, None
        if granted is not None and granted.record in self._usable(now_ms):
            return self._select(granted)
        choice = self._find(now_ms, can_have_run, on_ready)
        if isinstance(choice, NotFound):
            return choice
        if not self._limited.is_limited(choice.record):
            return self._select(choice)
        return self._request_permit(choice, now_ms, can_have_run, on_ready)

    def _find(
        self, now_ms: int, can_have_run: bool, on_ready: Callable[[], None]
    ) -> Choice | NotFound:
        """Return an endpoint, whether or not it needs a permit."""
        candidates = self._candidates(now_ms)
        if not candidates:
            return self._find_limited(now_ms, can_have_run)
        chooser = self._parts.chooser(self._service)
        requirements = self._requirements._replace(
            is_retry=bool(self._attempted), any_engine=self._any_engine
        )
        outdated = [
            record
            for record in chooser.endpoints_to_query(candidates, requirements, now_ms)
            if not self._limited.is_limited(record)
        ]
        if outdated and self._report_rounds < MAX_REPORT_ROUNDS:
            self._report_rounds += 1
            self._parts.loads.refresh(outdated, on_ready)
            return NotFound.PENDING
        choice = chooser.choose(candidates, requirements, now_ms)
        if can_have_run:
            self._forecast = None
            timely, self._timely_retry = self._timely_retry, None
            if timely is not None and timely in candidates:
                return self._choose_engine(timely, requirements, now_ms)
            return self._prefer_limited(choice, now_ms)
        if self._admits(choice, now_ms):
            return self._find_timely(choice, candidates, requirements, now_ms, on_ready)
        if self._try_any_engine(requirements):
            return self._find(now_ms, can_have_run, on_ready)
        limited = self._choose_limited(now_ms)
        if limited is not None and self._admits(limited, now_ms):
            return limited
        idle = self._find_idle(choice, candidates, requirements, now_ms, on_ready)
        if idle is not None:
            return idle
        self._report_shed(choice, requirements, now_ms)
        return NotFound.OVERLOADED

    def _find_idle(
        self,
        choice: Choice,
        candidates: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
        on_ready: Callable[[], None],
    ) -> Choice | NotFound | None:
        """Return another engine for a request that its home refuses, if one is idle.

        The load of some engines is queried first.  Their mean load decides whether the
        request is admitted: under load the best of them is idle by chance.
        """
        competition, finish = self._parts.guard.competition, self._parts.finish
        if competition is None or not is_last_tier(requirements.rank):
            return None
        if self._is_capacity_falling():
            return None
        engines = TimelyEngines(competition.deadlines, finish, competition.rng)
        if self._may_query_timely():
            outdated = engines.to_query(candidates, now_ms)
            if outdated:
                self._parts.loads.refresh(outdated, on_ready)
                return NotFound.PENDING
        evaluated = engines.evaluate(candidates, requirements, now_ms)
        timely = engines.draw(engines.select_idle(evaluated, now_ms))
        if timely is None:
            return None
        compared = tuple(timely_choice(each, requirements) for each in evaluated)
        other = timely_choice(timely, requirements)._replace(
            compared=compared, urgent_usage=choice.urgent_usage
        )
        if not self._admits_costly(other, choice.fresh_tokens, now_ms):
            return None
        self._forecast = SentForecast(now_ms, timely.expected.predicted_ms)
        self._parts.telemetry.request_diverted(
            self._request, choice, other, None, timely.expected
        )
        return other

    def _admits_costly(self, other: Choice, home_tokens: int, now_ms: int) -> bool:
        """Return whether a request is admitted that costs more than at its home.

        It takes the place of as many others as its prefill is longer than at its home,
        so that much more of such requests are refused.
        """
        assert self._draw is not None
        cost = max(1.0, other.fresh_tokens / max(1, home_tokens))
        draw = self._draw / cost
        return self._parts.guard.admits(other, self._requirements, now_ms, draw)

    def _is_capacity_falling(self) -> bool:
        """Return whether many engines leave; higher tiers need the others then."""
        listed = sum(
            each.entry.service == self._service.name for each in self._parts.roster
        )
        usable = len(self._parts.roster.usable(self._service.name))
        return listed - usable > MAX_LEAVING_SHARE * listed

    def _may_query_timely(self) -> bool:
        """Return true once, as each request queries further engines at most once."""
        may_query = not self._queried_timely
        self._queried_timely = True
        return may_query

    def _find_timely(
        self,
        choice: Choice,
        candidates: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
        on_ready: Callable[[], None],
    ) -> Choice | NotFound:
        """Return an engine that is expected to end the answer before its deadline.

        The choice is returned if it is, or if that is not known.  The request is refused
        only if no engine is expected to, of those whose load is known.
        """
        competition, finish = self._parts.guard.competition, self._parts.finish
        if competition is None:
            return self._prefer_limited(choice, now_ms)
        deadlines = competition.deadlines
        expected = deadlines.expect_end(
            finish, choice.record, requirements, choice.fresh_tokens, now_ms
        )
        if expected is None:
            return self._prefer_limited(choice, now_ms)
        self._forecast = SentForecast(now_ms, expected.predicted_ms)
        if expected.share <= 1.0:
            return self._prefer_limited(choice, now_ms)
        engines = TimelyEngines(deadlines, finish, competition.rng)
        evaluated = engines.evaluate(candidates, requirements, now_ms)
        timely = engines.draw(evaluated)
        if timely is None and self._may_query_timely():
            outdated = engines.to_query(candidates, now_ms)
            if outdated:
                self._parts.loads.refresh(outdated, on_ready)
                return NotFound.PENDING
        if timely is not None:
            other = self._choose_engine(timely.record, requirements, now_ms)
            if self._admits(other, now_ms):
                self._forecast = SentForecast(now_ms, timely.expected.predicted_ms)
                self._parts.telemetry.request_diverted(
                    self._request, choice, other, expected, timely.expected
                )
                return other
        best = min([expected, *(each.expected for each in evaluated)])
        return self._decide_late(choice, requirements, best, now_ms)

    def _decide_late(
        self,
        choice: Choice,
        requirements: RequestRequirements,
        expected: ExpectedEnd,
        now_ms: int,
    ) -> Choice | NotFound:
        """Return the choice or a refusal for an answer that is expected to be late."""
        competition = self._parts.guard.competition
        assert competition is not None
        service = self._service.name
        if competition.deadlines.refuses(service, requirements, expected, now_ms):
            limited = self._choose_limited(now_ms)
            if limited is not None and self._admits(limited, now_ms):
                return limited
            self._parts.telemetry.request_shed(
                self._request,
                choice,
                requirements,
                DEADLINE_LIMIT,
                now_ms,
                expected,
                self._surplus(),
            )
            return NotFound.OVERLOADED
        if self._forecast is not None:
            self._forecast = self._forecast._replace(expected_late=True)
        return self._prefer_limited(choice, now_ms)

    def _choose_engine(
        self, record: EndpointRecord, requirements: RequestRequirements, now_ms: int
    ) -> Choice:
        """Return the choice of one engine, which has to prefill the whole prompt."""
        choice = self._parts.chooser(self._service).choose(
            [record], requirements._replace(is_retry=True, any_engine=True), now_ms
        )
        prompt = requirements.prompt
        return choice._replace(
            fresh_tokens=choice.fresh_tokens if prompt is None else prompt.tokens
        )

    def record_end(self, late: bool, now_ms: int) -> bool:
        """Record the end of the request.

        :param late: whether its caller had no whole answer at the deadline.
        :param now_ms: the current time.
        :returns: whether it was sent although it was expected to be late.
        """
        competition, forecast = self._parts.guard.competition, self._forecast
        if competition is None or forecast is None:
            return False
        competition.deadlines.record_outcome(
            self._service.name, self._requirements, forecast, late, now_ms
        )
        return forecast.expected_late

    def _admits(self, choice: Choice, now_ms: int) -> bool:
        return self._parts.guard.admits(choice, self._requirements, now_ms, self._draw)

    def _report_shed(
        self, choice: Choice, requirements: RequestRequirements, now_ms: int
    ) -> None:
        limit = self._parts.guard.binding_limit(choice, requirements, now_ms)
        self._parts.telemetry.request_shed(
            self._request, choice, requirements, limit, now_ms, surplus=self._surplus()
        )

    def _surplus(self) -> float:
        """Return the organisation's demand as a multiple of its usual one."""
        competition, requirements = self._parts.guard.competition, self._requirements
        if competition is None:
            return 1.0
        return competition.demand.surplus(
            self._service.name, requirements.rank, requirements.organisation
        )

    def _try_any_engine(self, requirements: RequestRequirements) -> bool:
        """Widen the search to the engines of all partitions; return whether it was.

        The engines of a request's partition may be full while others start less urgent
        requests.  Requests of the last tier are excluded, as no tier is below them.
        """
        if (
            self._any_engine
            or requirements.prompt is None
            or is_last_tier(requirements.rank)
        ):
            return False
        self._any_engine = True
        self._report_rounds = MAX_REPORT_ROUNDS - 1
        return True

    def find_timely_retry(self, choice: Choice, now_ms: int) -> bool:
        """Return whether only another engine is expected to end the answer in time.

        The next search returns that engine.  What waits at the present engine counts as
        ahead of the request, although a part of it came later, so the present engine
        gets the benefit of the doubt.

        :param choice: the engine that the request waits at.
        :param now_ms: the current time.
        """
        competition, finish = self._parts.guard.competition, self._parts.finish
        if competition is None:
            return False
        deadlines, requirements = competition.deadlines, self._requirements
        expected = deadlines.expect_end(
            finish, choice.record, requirements, choice.fresh_tokens, now_ms
        )
        if expected is None or expected.share <= REFUSAL_FACTOR:
            return False
        engines = TimelyEngines(deadlines, finish, competition.rng)
        timely = engines.draw(
            engines.evaluate(self._candidates(now_ms), requirements, now_ms)
        )
        self._timely_retry = None if timely is None else timely.record
        return timely is not None

    def has_alternative(self, now_ms: int) -> bool:
        """Return whether there is an endpoint that was not attempted yet."""
        return bool(self._available(self._usable(now_ms), now_ms))

    def release(self, run: EndpointRun) -> None:
        """Make an endpoint available again because the request was never sent to it.

        :param run: the run of the endpoint.
        """
        self._attempted.discard(run)

    def wait_ms(self, now_ms: int) -> int:
        """Return the time until an endpoint may accept the request, in ms.

        :param now_ms: the current time.
        """
        waits_ms = (
            max(self._backoff_ms(record, now_ms), self._limited.wait_ms(record, now_ms))
            for record in self._listed()
        )
        return min(waits_ms, default=0)

    def expect_room(self, now_ms: int) -> Room | None:
        """Return when an engine may have room for a refused request; None if unknown.

        :param now_ms: the current time.
        """
        competition, requirements = self._parts.guard.competition, self._requirements
        if competition is None or requirements.prompt is None:
            return None
        service, rank = self._service.name, requirements.rank
        competition.returns.record_refusal(service, rank, now_ms)
        wait_ms = expect_room_ms(
            self._parts.finish, self._candidates(now_ms), requirements, now_ms
        )
        if wait_ms is None:
            return None
        share = competition.returns.recent_refused_share(service, rank, now_ms)
        return Room(wait_ms, requirements.end_ms - now_ms, share)

    def _backoff_ms(self, record: EndpointRecord, now_ms: int) -> int:
        return self._parts.statements.backoffs.remaining_ms(record.entry.run, now_ms)

    # -- limited endpoints

    def _find_limited(self, now_ms: int, can_have_run: bool) -> Choice | NotFound:
        """Return a limited endpoint for a request that has no other endpoint."""
        choice = self._choose_limited(now_ms)
        if choice is None:
            is_suspended = any(
                self._is_suspended(each, now_ms) for each in self._listed()
            )
            return NotFound.SUSPENDED if is_suspended else NotFound.NONE_LEFT
        if can_have_run or self._admits(choice, now_ms):
            return choice
        return NotFound.OVERLOADED

    def _is_suspended(self, record: EndpointRecord, now_ms: int) -> bool:
        is_in_backoff = self._backoff_ms(record, now_ms) > 0
        return is_in_backoff or self._limited.is_limited(record)

    def _prefer_limited(self, choice: Choice, now_ms: int) -> Choice:
        """Return a limited endpoint in place of a choice if one is preferable."""
        usable = self._usable(now_ms)
        if choice.load_known and choice.wait_ms > LIMITED_PREFERRED_WAIT_MS:
            records = self._limited.find_available(usable, now_ms)
        else:
            records = self._limited.find_unconfirmed(usable, now_ms)
        return self._choose_among(records, now_ms) or choice

    def _choose_limited(self, now_ms: int) -> Choice | None:
        records = self._limited.find_available(self._usable(now_ms), now_ms)
        return self._choose_among(records, now_ms)

    def _choose_among(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> Choice | None:
        available = self._available(records, now_ms)
        if not available:
            return None
        requirements = self._requirements._replace(is_retry=True, any_engine=True)
        return self._parts.chooser(self._service).choose(
            available, requirements, now_ms
        )

    def _request_permit(
        self,
        choice: Choice,
        now_ms: int,
        can_have_run: bool,
        on_ready: Callable[[], None],
    ) -> Choice | NotFound:
        """Return a choice with its permit, or continue the search if it is denied."""
        has_outcome = False
        is_waiting = False

        def handle_permit(granted: Choice | None) -> None:
            nonlocal has_outcome
            has_outcome = True
            self._granted = granted
            if is_waiting:
                on_ready()

        self._limited.request_permit(choice, handle_permit)
        if has_outcome:
            return self.find(now_ms, can_have_run, on_ready)
        is_waiting = True
        return NotFound.PENDING

    # -- candidates

    def _candidates(self, now_ms: int) -> list[EndpointRecord]:
        """Return the endpoints of first choice."""
        usable = [
            record
            for record in self._usable(now_ms)
            if not self._limited.is_last_resort(record, now_ms)
        ]
        return self._available(usable, now_ms)

    def _usable(self, now_ms: int) -> list[EndpointRecord]:
        return [each for each in self._listed() if not self._backoff_ms(each, now_ms)]

    def _listed(self) -> Sequence[EndpointRecord]:
        records = self._parts.roster.usable(self._service.name)
        return self._continuity.select(records)

    def _available(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        excluded = frozenset(self._attempted | self._limited.denied)
        available = available_records(records, excluded, now_ms)
        return list(self._crash_check.confine(available, now_ms))

    def _select(self, choice: Choice) -> Choice:
        self._attempted.add(choice.record.entry.run)
        self._limited.reset()
        self._report_rounds = 0
        return choice


def _record_arrival(parts: GatewayParts, admitted: AdmittedRequest) -> bool:
    """Count a request for model engines; return whether its caller has waited before."""
    competition, service = parts.guard.competition, admitted.service
    if competition is None or not service.runs_models:
        return False
    now_ms = parts.clock.now_ms()
    returned = competition.returns.record_arrival(
        admitted.route.name,
        service.name,
        admitted.rank,
        admitted.end_ms - now_ms,
        now_ms,
    )
    if not returned:
        competition.demand.record_request(
            service.name, admitted.rank, admitted.organisation, now_ms
        )
    return returned


def _expect_events(request: InboundRequest, service: Service) -> float:
    """Return how many events the caller expects, 0 if that is unknown."""
    prompt, engine = request.prompt, service.engine
    if prompt is None or engine is None or engine.tokens_per_event <= 0:
        return 0.0
    return prompt.hinted_tokens / engine.tokens_per_event
