"""Moves the streams of one engine that leaves, in order and within its notice."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.engine_state import has_usable_report, unused_slots
from savorychute.gateway.endpoints.endpoint_record import REPORT_LAG_MS
from savorychute.gateway.moves.departure_plan import (
    Departure,
    LeavingStream,
    Link,
    PlannedStream,
    plan_departure,
    token_transfer_ms,
)
from savorychute.gateway.moves.target_choice import (
    DISTANCE_FACTOR,
    Target,
    choose_target,
)
from savorychute.gateway.requests.rank import LEAST_URGENT_RANK

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from savorychute.gateway.configuration.engine_properties import EngineProperties
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.moves.movable_run import MovableRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.attempt_port import TimerHandle

MOVES = (Departure.MOVE, Departure.STOP_AND_MOVE)
# Copies queue on the link.  With two at a time it is busy between the two calls of a
# move, and the streams of other instances do not wait behind all of this one.
MAX_COPIES = 2
# Streams that turn out to outlast their engine, and reports of targets, are looked for
# again after this time.
RECHECK_MS = 100
# While no stream outlasts the engine, the plan is renewed this often within its notice.
IDLE_CHECKS = 8
# After the bound on retries was used up, no move is tried for this time, which doubles:
# each try is logged.  The first pause is short, as the bound of an instance without
# failures is low and raised on demand: with 500 ms, 26 of 30 streams were saved, not 30.
MIN_DENIED_MS = 50
MAX_DENIED_MS = 800
# Targets whose reports are requested at a time, and how many with room are enough.
MAX_QUERIES = 4
ENOUGH_TARGETS = 2
# Time for a call besides the transfer, before any was measured.
CALL_MS = 10.0
# The weight of the newest copy in the measured factor, and the largest factor.
QUEUE_WEIGHT = 0.3
MAX_QUEUE_FACTOR = 20.0
# A stream that restarts elsewhere does so this long before its engine ends.
RESTART_LEAD_MS = 250
# An unstated notice usually lasts longer than its minimum; this share of it is then
# taken for the time left.
OVERDUE_NOTICE_SHARE = 0.25


class _Reservation(NamedTuple):
    """A stream that was sent to a target, which the target's report may not include."""

    run: EndpointRun
    tokens: int
    at_ms: int


class _Copy(NamedTuple):
    """A move that uses the engine's link."""

    number: int
    started_ms: int
    expected_ms: float


class EngineDeparture:
    """Plans anew whenever a copy is complete, so that each plan rests on what was seen.

    :param parts: state and ports shared by all requests.
    :param record: the engine that leaves.
    :param engine: the properties of its service's engines.
    :param streams: its streams of this instance.
    :param min_ends_ms: the earliest end of an engine that does not state it.
    :param notice_ms: its shortest notice.
    :param rng: the random numbers of the instance.
    """

    def __init__(
        self,
        parts: GatewayParts,
        record: EndpointRecord,
        engine: EngineProperties,
        streams: Iterable[MovableRun],
        min_ends_ms: int,
        notice_ms: int,
        rng: random.Random,
    ) -> None:
        self._parts = parts
        self._record = record
        self._service = record.entry.service
        self._engine = engine
        self._streams = streams
        self._min_ends_ms = min_ends_ms
        self._notice_ms = notice_ms
        self._rng = rng
        self._ends_ms: int | None = None
        self._copying: set[_Copy] = set()
        self._copies = 0
        self._queue_factor = 1.0
        self._reserved: list[_Reservation] = []
        self._timer: TimerHandle | None = None
        self._next_spend_ms = 0
        self._denied_ms = MIN_DENIED_MS
        self._is_planned = False

    def start(self) -> None:
        """Ask the engine when it ends, then plan."""
        self._parts.loads.query(self._record, self._handle_report)

    def _handle_report(self, is_alive: bool) -> None:
        load = self._record.load
        if is_alive and load is not None and load.leaves_ms is not None:
            self._ends_ms = self._record.report_received_ms + load.leaves_ms
        self.advance()

    def advance(self) -> None:
        """Begin the moves that are due, and look again later."""
        self._schedule(None)
        streams = list(self._streams)
        left_ms = self._left_ms()
        if not streams or left_ms <= 0:
            return
        targets = self._find_targets()
        planned = self._plan(streams, targets, left_ms)
        self._log_plan(planned, left_ms)
        for stream, departure in planned:
            run = streams[stream.number]
            if departure is Departure.RESTART:
                if self._ends_ms is not None and left_ms <= RESTART_LEAD_MS:
                    run.restart()
            elif departure is not Departure.STAY and len(self._copying) < MAX_COPIES:
                target = choose_target(targets, _needed_tokens(stream), self._rng)
                if target is None:
                    continue
                if not self._acquire_retry(run):
                    break
                self._begin(run, target, stream, departure)
                targets = [_reserve(each, target, stream) for each in targets]
        if self._timer is None:
            idle_ms = 0 if planned else int(left_ms / IDLE_CHECKS)
            self._schedule(max(RECHECK_MS, idle_ms))

    def _acquire_retry(self, run: MovableRun) -> bool:
        now_ms = self._now_ms()
        if now_ms < self._next_spend_ms:
            return False
        if run.acquire_retry():
            self._denied_ms = MIN_DENIED_MS
            return True
        self._next_spend_ms = now_ms + self._denied_ms
        self._schedule(self._denied_ms)
        self._denied_ms = min(2 * self._denied_ms, MAX_DENIED_MS)
        return False

    def _begin(
        self,
        run: MovableRun,
        target: Target,
        stream: LeavingStream,
        departure: Departure,
    ) -> None:
        now_ms = self._now_ms()
        record = self._parts.roster.get(target.run.endpoint)
        if record is None:
            return
        needed = _needed_tokens(stream)
        self._reserved.append(_Reservation(target.run, needed, now_ms))
        self._copies += 1
        copies = len(self._copying) + 1
        expected_ms = copies * self._token_ms() * stream.tokens + 2 * CALL_MS
        copy = _Copy(self._copies, now_ms, expected_ms)
        self._copying.add(copy)
        ends_ms = now_ms + self._left_ms()
        run.begin_move(
            record,
            departure,
            ends_ms,
            self._ends_ms is not None,
            lambda: self._handle_link_free(copy),
        )

    # -- the plan

    def _plan(
        self, streams: list[MovableRun], targets: list[Target], left_ms: float
    ) -> list[PlannedStream]:
        now_ms = self._now_ms()
        best = max(targets, key=lambda each: each.free_slots, default=None)
        record = self._parts.roster.get(best.run.endpoint) if best is not None else None
        used_share = 1.0
        if best is not None and record is not None:
            used_share = max(0.0, 1.0 - best.free_slots / record.entry.slots)
        described = [
            run.describe(number, record, used_share, now_ms)
            for number, run in enumerate(streams)
        ]
        token_ms = self._token_ms()
        if targets and not any(each.is_near for each in targets):
            token_ms *= DISTANCE_FACTOR
        link = Link(self._queue_factor * token_ms, CALL_MS)
        return plan_departure(
            [each for each in described if each is not None], left_ms, link
        )

    def _token_ms(self) -> float:
        engine = self._engine
        return token_transfer_ms(engine.kv_bytes_per_token, engine.link_mbps)

    def _left_ms(self) -> float:
        """Return the time until the engine ends, as far as it is known."""
        now_ms = self._now_ms()
        if self._ends_ms is not None:
            return self._ends_ms - now_ms
        left_ms = self._min_ends_ms - now_ms
        return max(left_ms, OVERDUE_NOTICE_SHARE * self._notice_ms)

    def _handle_link_free(self, copy: _Copy) -> None:
        """Measure how long the copies of a move took, and begin the next one."""
        self._copying.discard(copy)
        duration_ms = self._now_ms() - copy.started_ms
        factor = min(max(1.0, duration_ms / copy.expected_ms), MAX_QUEUE_FACTOR)
        self._queue_factor += QUEUE_WEIGHT * (factor - self._queue_factor)
        self._schedule(0)

    # -- targets

    def _find_targets(self) -> list[Target]:
        """Return the engines that may take a stream over, by their recent reports."""
        now_ms = self._now_ms()
        candidates = self._candidates(now_ms)
        known = [each for each in candidates if has_usable_report(each, now_ms)]
        targets = [self._make_target(each, now_ms) for each in known]
        if sum(each.free_slots >= 1 for each in targets) < ENOUGH_TARGETS:
            self._query([each for each in candidates if each not in known])
        return targets

    def _candidates(self, now_ms: int) -> list[EndpointRecord]:
        parts, own = self._parts, self._record.entry
        return [
            record
            for record in parts.roster.usable(own.service)
            if record.entry.software_version == own.software_version
            and record.entry.address != own.address
            and not record.health.is_blocked(now_ms)
            and not parts.permits.is_limited(record.entry.run)
            and not parts.statements.backoffs.remaining_ms(record.entry.run, now_ms)
        ]

    def _make_target(self, record: EndpointRecord, now_ms: int) -> Target:
        since_ms = record.report_received_ms - REPORT_LAG_MS
        reserved = [
            each.tokens
            for each in self._reserved
            if each.run == record.entry.run and each.at_ms >= since_ms
        ]
        free_tokens = record.load.free_tokens if record.load is not None else None
        if free_tokens is not None:
            free_tokens -= sum(reserved)
        free_slots = unused_slots(record, LEAST_URGENT_RANK, now_ms, 1)
        return Target(
            record.entry.run,
            free_slots - len(reserved),
            free_tokens,
            record.entry.failure_domain == self._record.entry.failure_domain,
        )

    def _query(self, candidates: list[EndpointRecord]) -> None:
        """Request the reports of some engines, near ones first, then plan again."""
        if not candidates or not self._parts.moves.may_query(self._service):
            return
        domain = self._record.entry.failure_domain
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda each: each.entry.failure_domain != domain)
        self._parts.loads.refresh(candidates[:MAX_QUERIES], self._handle_queried)

    def _handle_queried(self) -> None:
        self._schedule(0)

    # -- timing

    def _schedule(self, delay_ms: int | None) -> None:
        """Plan again after a delay; never, if it is None."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms is not None:
            self._timer = self._parts.timers.call_later(delay_ms, self.advance)

    def _log_plan(self, planned: list[PlannedStream], left_ms: float) -> None:
        if self._is_planned:
            return
        self._is_planned = True
        counts = Counter(departure for _, departure in planned)
        self._parts.moves.telemetry.departure_planned(
            self._record.entry.endpoint,
            {
                'streams': len(planned),
                'moves': sum(counts[each] for each in MOVES),
                'restarts': counts[Departure.RESTART],
            },
            int(left_ms),
            is_known=self._ends_ms is not None,
        )

    def _now_ms(self) -> int:
        return self._parts.clock.now_ms()


def _needed_tokens(stream: LeavingStream) -> int:
    """Return the tokens that a stream will have in memory at its end."""
    return int(stream.tokens + stream.tokens_per_ms * stream.remaining_ms)


def _reserve(target: Target, chosen: Target, stream: LeavingStream) -> Target:
    """Return a target without what a stream needs at the chosen one."""
    if target.run != chosen.run:
        return target
    free_tokens = target.free_tokens
    return target._replace(
        free_slots=target.free_slots - 1,
        free_tokens=(
            None if free_tokens is None else free_tokens - _needed_tokens(stream)
        ),
    )
