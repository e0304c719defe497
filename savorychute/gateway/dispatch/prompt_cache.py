"""The endpoint that is likely to begin a prompt first."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.chooser import CHOOSERS, Choice
from savorychute.gateway.dispatch.engine_models import EngineModels
from savorychute.gateway.dispatch.engine_state import (
    OTHERS_FACTOR,
    REPORT_MS,
    failure_ms,
    is_idle,
    is_recent,
    is_usable,
    serves_well,
    steady_room,
)
from savorychute.gateway.dispatch.home_ranking import HomeRanking
from savorychute.gateway.dispatch.lane_demand import LaneDemand
from savorychute.gateway.dispatch.lane_split import LaneSplit

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.engine_model import EngineModel
    from savorychute.gateway.dispatch.need import Need
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.requests.prompt import Prompt

# What one more request adds to each step of the batch, until an answer of usual
# length is out.
PLACE_MS = 6.0
DISTANCE_MS = 4.0
# Reading a cached prompt elsewhere also delays every request there, and the users price
# 13,000 tokens read again like a whole answer; so the queue at home must be that
# many times as long as the reading.
AGAIN_WEIGHT = 8.0
# Where a prompt goes when its home is full: to the next in the ranking, for all
# instances alike.
RANK_MS = 20.0
# A report is asked for before a prompt of this size; a smaller one is read before the
# report could change much.
LARGE_TOKENS = 2_000
# With a wait beyond this at home some other engines are asked as well: the next in the
# ranking, and two at random.  The better of two random engines is nearly as good as the
# best of all, and with 45 engines asking all took ten reports for each prompt.
BUSY_MS = 300.0
NEXT_ASKED = 1
RANDOM_ASKED = 2
# Steady streams are short and many; a report of this age still tells how crowded a lane
# is.  Asking for them cost 0.0003 of the worth of a calm day and brought 0.046.
STEADY_REPORT_MS = 500
STEADY_ASKED = 2
# A steady stream with a longer prompt has a home: reading it anew takes an engine more than
# a tenth of a second, and lets the streams there wait.
SPREAD_TOKENS = 8_000
# An engine with a shorter wait may stand in for a busy home, by a report of this age.
IDLE_MS = 120.0
STAND_IN_REPORT_MS = 400


class _Candidate(NamedTuple):
    record: EndpointRecord
    fresh_tokens: int
    extra_ms: float


@CHOOSERS.register('prompt-cache')
class PromptCacheChooser:
    """Predicts the wait for the first token.

    All instances rank the endpoints for a shared prompt by the same hash, so they send
    it to the same one without a word between them, and it is read once.  The prediction
    moves a request down the ranking when the queue there costs more than reading anew.

    :param failure_domain: of this instance.
    :param rng: breaks ties.
    :param demand: what the lanes are made for; alone this instance's if left out.
    :param models: what engines showed; nothing yet if left out.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        demand: LaneDemand | None = None,
        models: EngineModels | None = None,
    ) -> None:
        self._failure_domain = failure_domain
        self._models = models or EngineModels()
        self._rng = rng
        self._demand = demand or LaneDemand()
        self._lanes = LaneSplit(self._demand)
        self._homes = HomeRanking()

    def wants_reports(
        self, records: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> list[EndpointRecord]:
        """Return the engines whose load should be known first.

        For a steady stream those are two engines of its lane; for a long prompt its home,
        and if that is busy a few others.
        """
        prompt = need.prompt
        if prompt is None:
            return []
        lane = self._lane(records, need)
        if self._needs_apart(records, need):
            sample = self._rng.sample(lane, min(STEADY_ASKED, len(lane)))
            return self._unknown(sample, now_ms, STEADY_REPORT_MS)
        if prompt.tokens < LARGE_TOKENS:
            return []
        ranked = self._ranked(lane, prompt)
        home = ranked[0]
        if not is_recent(home, now_ms, REPORT_MS):
            return [home]
        if self._wait(home, now_ms) + failure_ms(home, now_ms) <= BUSY_MS:
            return []
        rest = ranked[1 + NEXT_ASKED :]
        others = self._rng.sample(rest, min(RANDOM_ASKED, len(rest)))
        return self._unknown(ranked[1 : 1 + NEXT_ASKED] + others, now_ms, REPORT_MS)

    def _unknown(
        self, records: Sequence[EndpointRecord], now_ms: int, bound_ms: int
    ) -> list[EndpointRecord]:
        return [each for each in records if not is_recent(each, now_ms, bound_ms)]

    def choose(
        self, records: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> Choice:
        """Return the endpoint with the least predicted wait."""
        entry = records[0].entry
        model = self._models.of(entry.service)
        steady = model.needs_apart(need)
        self._demand.note(need, now_ms, model, entry.slots)
        lane = self._lane(records, need)
        best = self._spread(lane, need, now_ms) if steady else None
        best = best or self._best(lane, need, now_ms)
        if steady and not serves_well(best.record, now_ms):
            # Short and ahead of the queue, it is served by any engine; late events are
            # better than none, and than putting back others.
            free = [each for each in records if serves_well(each, now_ms)]
            return self._best(free or records, need, now_ms)._replace(steady=True)
        return best._replace(steady=steady, apart=steady)

    def _spread(
        self, lane: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> Choice | None:
        """Return an engine of the steady lane by chance, weighted by its room.

        Steady streams are short to read, so a home saves them little; it made one engine
        of a lane run 32 streams where another ran two.  The engine with the most room
        would be chosen by all instances at once.  There is none for a stream that leaves
        the lane, for a long prompt, and where all are full.
        """
        prompt = need.prompt
        if prompt is None or prompt.tokens > SPREAD_TOKENS or need.tries_again:
            return None
        rooms = [steady_room(each, now_ms) for each in lane]
        if not any(rooms):
            return None
        record = self._rng.choices(lane, rooms)[0]
        return self._judge(_Candidate(record, prompt.tokens, 0.0), now_ms)

    def _needs_apart(self, records: Sequence[EndpointRecord], need: Need) -> bool:
        return self._models.of(records[0].entry.service).needs_apart(need)

    def _best(self, lane: Sequence[EndpointRecord], need: Need, now_ms: int) -> Choice:
        prompt = need.prompt
        if prompt is None:
            candidates = [_Candidate(record, 0, 0.0) for record in lane]
        else:
            candidates = self._candidates(self._ranked(lane, prompt), prompt, now_ms)
        choices = [self._judge(each, now_ms) for each in candidates]
        best = min(choices, key=lambda choice: choice.cost_ms)
        if prompt is None or not prompt.affinity or best is choices[0]:
            return best
        return best._replace(compared=self._compared(lane, now_ms))

    def _compared(
        self, lane: Sequence[EndpointRecord], now_ms: int
    ) -> tuple[Choice, ...]:
        """Return the engines of a lane that were asked for this choice."""
        return tuple(
            self._judge(_Candidate(each, 0, 0.0), now_ms)
            for each in lane
            if is_recent(each, now_ms, STAND_IN_REPORT_MS)
        )

    def _lane(
        self, records: Sequence[EndpointRecord], need: Need
    ) -> Sequence[EndpointRecord]:
        """Return the engines that a request may use.

        A steady stream that an engine of its lane has refused goes to any engine.
        """
        apart = self._needs_apart(records, need)
        if apart and need.tries_again:
            return records
        return self._lanes.lane(records, apart=apart)

    def _judge(self, candidate: _Candidate, now_ms: int) -> Choice:
        record = candidate.record
        wait_ms = self._wait(record, now_ms)
        model = self._models.of(record.entry.service)
        reading_ms = model.reading_ms(candidate.fresh_tokens)
        return Choice(
            record,
            candidate.fresh_tokens,
            candidate.extra_ms + reading_ms + wait_ms + failure_ms(record, now_ms),
            wait_ms,
            is_usable(record, now_ms),
            idle=is_idle(record, now_ms),
        )

    def _candidates(
        self, ranked: Sequence[EndpointRecord], prompt: Prompt, now_ms: int
    ) -> list[_Candidate]:
        """Return the home, and the engines that may stand in for it.

        An engine that was not asked seems idle to this instance, and would get what all
        instances move away from busy ones.  For a large prompt an engine must be idle
        indeed: where all are busy, every prompt that is read anew takes the place of
        four that are cached, and more homes become busy.
        """
        if not prompt.affinity:
            known = [each for each in ranked if is_usable(each, now_ms)]
            return [_Candidate(each, prompt.tokens, 0.0) for each in known or ranked]
        home, *others = ranked
        stand_ins = [
            (rank, each) for rank, each in enumerate(others) if is_usable(each, now_ms)
        ]
        if prompt.shared_tokens >= LARGE_TOKENS:
            stand_ins = [
                (rank, each)
                for rank, each in stand_ins
                if is_recent(each, now_ms, STAND_IN_REPORT_MS)
                and self._wait(each, now_ms) <= IDLE_MS
            ]
        elif not stand_ins:
            stand_ins = list(enumerate(others))
        return [
            _at_home(home, prompt),
            *(self._elsewhere(each, rank, prompt) for rank, each in stand_ins),
        ]

    def _elsewhere(
        self, record: EndpointRecord, rank: int, prompt: Prompt
    ) -> _Candidate:
        """Return an engine that has to read all."""
        model = self._models.of(record.entry.service)
        again_ms = AGAIN_WEIGHT * model.reading_ms(prompt.shared_tokens)
        return _Candidate(record, prompt.tokens, again_ms + RANK_MS * rank)

    def _ranked(
        self, lane: Sequence[EndpointRecord], prompt: Prompt
    ) -> list[EndpointRecord]:
        """Return the engines, the home of the prompt first if it has one."""
        if not prompt.affinity:
            return list(lane)
        return self._homes.order(lane, prompt.affinity)

    def _wait(self, record: EndpointRecord, now_ms: int) -> float:
        """Predict how long a request waits there before its prompt is read."""
        model = self._models.of(record.entry.service)
        if record.load is not None and is_usable(record, now_ms):
            wait_ms = _reported_wait(record, record.load, model)
        else:
            wait_ms = OTHERS_FACTOR * model.reading_ms(record.unread_tokens())
            wait_ms += OTHERS_FACTOR * PLACE_MS * record.outstanding
        if record.entry.failure_domain != self._failure_domain:
            wait_ms += DISTANCE_MS
        return wait_ms + self._rng.random()


def _at_home(record: EndpointRecord, prompt: Prompt) -> _Candidate:
    """Return the engine that has read the shared part."""
    return _Candidate(record, prompt.tokens - prompt.shared_tokens, 0.0)


def _reported_wait(
    record: EndpointRecord, load: EngineLoad, model: EngineModel
) -> float:
    """Predict the wait at an engine from its report.

    A request waits for the prompts before it to be read, and for a place: with 12 places
    all are taken while there is still little to read.
    """
    each_tokens = min(load.next_tokens, model.usual_tokens)
    queued_tokens = (load.waiting + load.reading) * each_tokens
    reading_ms = model.reading_ms(queued_tokens + record.unreported_tokens())
    reading_ms += PLACE_MS * load.generating
    return max(reading_ms, model.place_wait_ms(load.taken + 1, record.entry.slots))
