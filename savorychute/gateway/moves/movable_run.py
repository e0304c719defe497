"""The run of one request, as far as it may go on at another engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from savorychute.gateway.configuration.request_kind import RequestKind
from savorychute.gateway.dispatch.request_requirements import RequestRequirements
from savorychute.gateway.moves.departure_plan import (
    Departure,
    LeavingStream,
    expect_remaining_ms,
)
from savorychute.gateway.moves.move_telemetry import RESTARTED, MoveFigures
from savorychute.gateway.moves.stream_move import (
    MovedRun,
    MoveOrder,
    MovePhase,
    StreamMove,
)
from savorychute.gateway.requests.loss_observer import LOSS_REASONS

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.configuration.engine_properties import EngineProperties
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.attempt import Attempt
    from savorychute.gateway.requests.inbound_request import InboundRequest
    from savorychute.gateway.requests.stream_relay import StreamRelay

# A stream whose moves failed this often stays where it is.
MAX_MOVES_AT_ENGINE = 2
# Two events further apart than this show the usual time between events.
MIN_OBSERVED_EVENTS = 3


class RunOwner(MovedRun, Protocol):
    """The request that a run belongs to."""

    def replaceable_attempt(self) -> Attempt | None:
        """Return the current attempt if another endpoint may be tried instead."""
        ...

    def abandon_attempt(self, attempt: Attempt, *, is_leaving: bool = False) -> None:
        """Close an attempt and try another endpoint, if there is one."""
        ...

    def may_move(self) -> bool:
        """Return whether the request may run at any engine of its service."""
        ...


class MovableRun:
    """Registers a stream at its engine, and routes the events of a move.

    :param parts: state and ports shared by all requests.
    :param request: the request.
    :param admitted: its route, service and rank.
    :param relay: the events that the caller has received.
    :param owner: the request's execution.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: InboundRequest,
        admitted: AdmittedRequest,
        relay: StreamRelay,
        owner: RunOwner,
    ) -> None:
        self.parts = parts
        self._request = request
        self._admitted = admitted
        self._relay = relay
        self._owner = owner
        self._is_movable = _is_movable(request, admitted)
        self._attempt: Attempt | None = None
        self._events_before = 0
        self._moves = 0
        self._move: StreamMove | None = None
        self._has_retry = False

    @property
    def engine(self) -> EngineProperties:
        """The properties of the engines of its service."""
        engine = self._admitted.service.engine
        assert engine is not None
        return engine

    @property
    def record(self) -> EndpointRecord:
        """The engine that generates the stream."""
        assert self._attempt is not None
        return self._attempt.choice.record

    @property
    def is_stopping(self) -> bool:
        """Whether the run may have stopped, and no engine was asked to continue it."""
        return self._move is not None and self._move.is_stopping

    # -- called by the execution

    def record_event(self, attempt: Attempt) -> None:
        """Record an event of the stream.

        :param attempt: the attempt that received it.
        """
        if not self._is_movable:
            return
        if self._move is not None:
            self._move.handle_event(attempt)
            self._forget_ended()
        if attempt is not self._attempt:
            self._arrive(attempt)

    def absorbs_failure(self, attempt: Attempt, reason: str) -> bool:
        """Return whether a failed attempt belongs to a move, which goes on without it.

        :param attempt: the attempt, which has ended.
        :param reason: why it failed.
        """
        if self._move is None:
            return False
        is_own = attempt is self._attempt
        if is_own and reason not in LOSS_REASONS:
            self.abandon_move(reason)
            return False
        absorbed = self._move.absorb_failure(attempt, reason)
        self._forget_ended()
        return absorbed

    def absorbs_end(self, attempt: Attempt) -> bool:
        """Return whether the end of a response belongs to a move.

        :param attempt: the attempt whose response is complete.
        """
        if self._move is None:
            return False
        absorbed = self._move.absorb_end(attempt)
        self._forget_ended()
        return absorbed

    def abandon_move(self, reason: str) -> None:
        """Free the copy of a move: the request is sent elsewhere without it.

        :param reason: why the move is of no use any more.
        """
        move, self._move = self._move, None
        if move is not None:
            move.abandon(reason)

    def close(self, reason: str) -> None:
        """Handle the end of the request.

        :param reason: how it ended.
        """
        if self._is_movable:
            self.abandon_move(reason)
            self._leave_engine()

    def _arrive(self, attempt: Attempt) -> None:
        """Register the stream at the engine that has sent its first event."""
        last = self._attempt
        if last is not None and last.choice.record is not attempt.choice.record:
            self._moves = 0
        self._leave_engine()
        self._attempt = attempt
        self._events_before = self._relay.events
        self.parts.moves.add(self)

    def _leave_engine(self) -> None:
        if self._attempt is not None:
            self.parts.moves.discard(self, self._attempt.choice.record.entry.run)
            self._attempt = None

    def _forget_ended(self) -> None:
        if self._move is not None and self._move.phase is MovePhase.ENDED:
            self._has_retry = self._move.has_unused_retry
            self._move = None

    # -- called by the departure of its engine

    def describe(
        self, number: int, target: EndpointRecord | None, used_share: float, now_ms: int
    ) -> LeavingStream | None:
        """Return what decides about the stream, or None if it cannot be moved now.

        :param number: identifies it.
        :param target: an engine at which it could run again, if one is known.
        :param used_share: the share of that engine's slots in use.
        :param now_ms: the current time.
        """
        attempt, prompt = self._attempt, self._request.prompt
        self._forget_ended()
        if attempt is None or attempt.ended or self._move is not None:
            return None
        if prompt is None or self._moves >= MAX_MOVES_AT_ENGINE or not self._can_move():
            return None
        event_ms = self._event_ms(attempt, now_ms)
        tokens = self._tokens()
        model = self.parts.engines.for_service(self._admitted.service.name)
        may_run_again = self._owner.replaceable_attempt() is attempt
        restart_ms = float('inf')
        if may_run_again and target is not None:
            estimate = self.parts.finish.estimate(
                target, self._requirements(), tokens, now_ms
            )
            prefill_ms = model.prefill_ms(tokens)
            restart_ms = estimate.first_event_ms + used_share * prefill_ms
        events = self._events()
        return LeavingStream(
            number,
            self._admitted.rank,
            tokens,
            self.engine.tokens_per_event / max(1.0, event_ms),
            expect_remaining_ms(events, self._expected_events(), event_ms),
            model.prefill_ms(prompt.tokens) + events * event_ms,
            may_run_again,
            restart_ms,
        )

    def acquire_retry(self) -> bool:
        """Return whether the shared bound allows the stream to arrive at a target.

        The endpoints' operators may count the continuation as a further arrival of the
        request, though it is the same run.  A retry that a failed move did not use is kept
        for the next one.
        """
        self._has_retry = self._has_retry or self._owner.spend_retry()
        return self._has_retry

    def begin_move(
        self,
        target: EndpointRecord,
        departure: Departure,
        ends_ms: float,
        is_end_stated: bool,
        on_link_free: Callable[[], None],
    ) -> None:
        """Begin to move the stream.

        :param target: the engine at which it goes on.
        :param departure: whether it goes on during the first copy.
        :param ends_ms: when its engine ends, or the earliest time for it.
        :param is_end_stated: whether the engine has stated that time.
        :param on_link_free: called once, when the copies are complete or have failed.
        """
        assert self._attempt is not None
        order = MoveOrder(
            self._request.attempt_id,
            target,
            self._tokens(),
            ends_ms,
            is_end_stated,
            self.engine.handle_ms,
        )
        move = StreamMove(self.parts, self._owner, self._attempt, order)
        move.on_link_free = on_link_free
        self._moves += 1
        self._move = move
        move.start(in_two_copies=departure is Departure.MOVE)
        self._forget_ended()

    def restart(self) -> None:
        """Let another engine read the prompt again, if there is one."""
        attempt = self._attempt
        if attempt is None or attempt is not self._owner.replaceable_attempt():
            return
        self._owner.abandon_attempt(attempt, is_leaving=True)
        if attempt.ended:
            self.parts.moves.telemetry.move_changed(
                self._request.attempt_id,
                attempt.choice.record.entry,
                '',
                RESTARTED,
                MoveFigures(self._tokens()),
            )

    def _can_move(self) -> bool:
        is_named = self._relay.can_resume and bool(self._relay.last_event)
        version = self.record.entry.software_version
        return is_named and version is not None and self._owner.may_move()

    def _events(self) -> int:
        """Return the events of the stream, also those that the caller had before."""
        before = self._request.last_event
        return self._relay.events + (int(before) if before.isdecimal() else 0)

    def _tokens(self) -> int:
        prompt = self._request.prompt
        assert prompt is not None
        return prompt.tokens + int(self._events() * self.engine.tokens_per_event)

    def _expected_events(self) -> float:
        prompt, tokens_per_event = self._request.prompt, self.engine.tokens_per_event
        if prompt is not None and prompt.hinted_tokens and tokens_per_event > 0:
            return prompt.hinted_tokens / tokens_per_event
        return self.parts.engines.for_service(
            self._admitted.service.name
        ).events_per_answer

    def _event_ms(self, attempt: Attempt, now_ms: int) -> float:
        """Return the time between events, as observed or as predicted."""
        events = self._relay.events - self._events_before
        if events >= MIN_OBSERVED_EVENTS and attempt.first_event_ms is not None:
            return (attempt.last_received_ms - attempt.first_event_ms) / events
        estimate = self.parts.finish.estimate(
            self.record, self._requirements(), 0, now_ms
        )
        return estimate.event_ms

    def _requirements(self) -> RequestRequirements:
        admitted, route = self._admitted, self._admitted.route
        return RequestRequirements(
            self._request.prompt, route.gap_target_ms, route.target_ms, admitted.rank
        )


def _is_movable(request: InboundRequest, admitted: AdmittedRequest) -> bool:
    """Return whether the run of a request can be moved at all.

    A request that is let through as a trial of a verdict runs at one engine only.
    """
    engine = admitted.service.engine
    return (
        engine is not None
        and engine.moves
        and admitted.route.kind is RequestKind.STREAM
        and bool(request.attempt_id)
        and request.prompt is not None
        and not admitted.is_trial
    )
