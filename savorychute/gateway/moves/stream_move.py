"""One move of a stream to another engine, with its memory."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple, Protocol

from savorychute.gateway.dispatch.chooser import Choice
from savorychute.gateway.moves.continuation import Continuation
from savorychute.gateway.moves.move_call import CopyOrder, CopyOutcome, CopyResult
from savorychute.gateway.moves.move_telemetry import (
    COMPLETED,
    FAILED,
    STARTED,
    MoveFigures,
)
from savorychute.gateway.permits.permit import Permit
from savorychute.gateway.requests.endpoint_response import ResponseKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.permits.permit import PermitOutcome
    from savorychute.gateway.requests.attempt import Attempt

# The stream has stopped while the last copy is made, so a response is worth waiting for.
MIN_TIMEOUT_MS = 500
# A copy whose lifetime is not configured is taken for usable for this long.
DEFAULT_HANDLE_MS = 2_000
# An engine that has sent nothing for this long, and should have ended by then, has ended:
# a connection to one that lost power stays open.
SILENCE_MS = 300
# Outcomes that prove that the engine did not stop the run for the last copy.
NOT_STOPPED = frozenset({CopyOutcome.UNSENT, CopyOutcome.BUSY, CopyOutcome.UNKNOWN_RUN})


class MoveOrder(NamedTuple):
    """What to move: the run's name at its engine, and its tokens in memory.

    The engine ends at ``ends_ms``, or later unless ``is_end_stated``.  A copy that is not used is freed after
    ``handle_ms``, 0 if that is unknown.
    """

    request_id: str
    target: EndpointRecord
    tokens: int
    ends_ms: float
    is_end_stated: bool
    handle_ms: int


class MovePhase(Enum):
    """``COPYING``: the stream goes on during the first copy.  ``STOPPING``: its engine
    was told to stop it.  ``HELD``: that failed and the stream goes on, with a copy at the
    target in case its engine ends.  ``CONTINUING``: it was sent to the target.
    ``RETURNING``: it was sent back to its engine.
    """

    COPYING = auto()
    STOPPING = auto()
    HELD = auto()
    CONTINUING = auto()
    RETURNING = auto()
    ENDED = auto()


class MovedRun(Protocol):
    """The request whose run moves."""

    def continue_run(self, choice: Choice, continuation: Continuation) -> Attempt:
        """Send the request to an engine that continues the run."""
        ...

    def run_lost(self, reason: str) -> None:
        """Handle that the run has ended, in the same way as a lost connection."""
        ...

    def attempt_completed(self, attempt: Attempt) -> None:
        """Handle a complete response."""
        ...

    def spend_retry(self) -> bool:
        """Return whether the shared bound allows a further arrival of the request."""
        ...

    def may_send(self) -> bool:
        """Return whether the request may still be sent to an endpoint."""
        ...


class StreamMove:
    """Copies the memory of a run, stops the run, and continues it at the target.

    Each of the engine's responses may be missing, and its stream may end at any time.
    What may follow depends on two facts: whether the run has stopped at its engine, and
    whether there is a copy that was not used.  A run whose stopping is not proved by a
    response or by the end of its stream is never continued elsewhere.

    :param parts: state and ports shared by all requests.
    :param run: the request.
    :param attempt: the attempt that receives the stream.
    :param order: what to move, and where to.
    """

    def __init__(
        self, parts: GatewayParts, run: MovedRun, attempt: Attempt, order: MoveOrder
    ) -> None:
        self._parts = parts
        self._run = run
        self._attempt = attempt
        self._source = attempt.choice.record
        self._order = order
        self.started_ms = parts.clock.now_ms()
        self._stopping_ms = self.started_ms
        self.phase = MovePhase.COPYING
        self._handle = ''
        self._expires_ms = 0
        self._replaced = ''
        # Whether the engine has proved that it stopped the run, and keeps its memory.
        self._has_stopped = False
        self._has_held_end = False
        self._last_outcome = CopyOutcome.UNSENT
        # The retry that was granted for the arrival at the target.
        self.has_unused_retry = True
        self._continuing: Attempt | None = None
        # Called once, when the move no longer uses the engine's link.
        self.on_link_free: Callable[[], None] | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether the run may have stopped, and no engine was asked to continue it."""
        return self.phase is MovePhase.STOPPING

    def start(self, *, in_two_copies: bool) -> None:
        """Order the first copy.

        :param in_two_copies: whether the stream goes on during the first one.
        """
        self._log(STARTED)
        if in_two_copies:
            self._order_copy(is_last=False)
        else:
            self._stop_source()

    # -- the copies

    def _order_copy(self, *, is_last: bool) -> None:
        entry = self._source.entry
        order = CopyOrder(
            self._order.request_id, self._order.target.entry.address, is_last
        )
        on_result = self._handle_last if is_last else self._handle_first

        def send(outcome: PermitOutcome) -> None:
            if not isinstance(outcome, Permit):
                on_result(CopyResult(CopyOutcome.UNSENT))
                return
            timeout_ms = max(MIN_TIMEOUT_MS, int(self._order.ends_ms - self._now_ms()))
            self._parts.attempts.copy(entry, order, timeout_ms, on_result, outcome)

        self._with_permit(send)

    def _with_permit(self, send: Callable[[PermitOutcome], None]) -> None:
        rank = self._attempt.choice.rank
        outcome = self._parts.permits.request(self._source.entry.run, rank, send)
        if outcome is not None:
            send(outcome)

    def _handle_first(self, result: CopyResult) -> None:
        if self.phase is not MovePhase.COPYING:
            self._release(result.handle)
            return
        if result.outcome is not CopyOutcome.COPIED:
            self._release(result.handle)
            self._fail(result.outcome.name.lower())
            return
        self._keep(result.handle)
        self._stop_source()

    def _stop_source(self) -> None:
        """Stop the run at its engine, if it can go on at the target."""
        if self._attempt.ended:
            self._fail('stream-ended')
        elif not self._can_use_target():
            self._fail('target-unusable')
        elif not self._run.may_send():
            self._fail('withheld')
        else:
            self.phase = MovePhase.STOPPING
            self._stopping_ms = self._now_ms()
            self._order_copy(is_last=True)

    def _handle_last(self, result: CopyResult) -> None:
        if self.phase is not MovePhase.STOPPING:
            self._release(result.handle)
            return
        if result.handle:
            self._keep(result.handle)
            self._has_stopped = True
        self._last_outcome = result.outcome
        self._free_link()
        if result.outcome is CopyOutcome.COPIED:
            self._continue_at_target()
        elif self._has_stopped:
            self._return_to_source(result.outcome.name.lower())
        elif self._attempt.ended:
            self._handle_ended()
        else:
            self.phase = MovePhase.HELD
            self._log(FAILED, result.outcome.name.lower())
            self._watch_end()

    def _watch_end(self) -> None:
        """Check, after the stated end of the engine, whether the stream still delivers."""
        if self._order.is_end_stated and self._handle:
            delay_ms = max(0, int(self._order.ends_ms - self._now_ms())) + SILENCE_MS
            self._parts.timers.call_later(delay_ms, self._check_silence)

    def _check_silence(self) -> None:
        silent_ms = self._now_ms() - self._attempt.last_received_ms
        if self.phase is MovePhase.HELD and silent_ms >= SILENCE_MS:
            self._use_copy('silent')

    def _handle_ended(self) -> None:
        """Handle a stream that ended although its engine did not say that it stopped it."""
        if self._has_held_end and self._is_whole():
            self._end()
            self._run.attempt_completed(self._attempt)
        else:
            self._use_copy(self._last_outcome.name.lower())

    def _is_whole(self) -> bool:
        """Return whether the end of the response is the end of the run."""
        response = self._attempt.response
        assert response is not None
        return response.is_delimited or self._last_outcome in NOT_STOPPED

    def _use_copy(self, reason: str) -> None:
        """Continue a run whose engine has ended, if there is a copy of its memory."""
        if self._handle and self._now_ms() < self._expires_ms:
            self._continue_at_target()
        else:
            self._lose(reason)

    # -- the continuation

    def _continue_at_target(self) -> None:
        self._attempt.stop()
        if not self._can_use_target():
            self._return_to_source('target-unusable')
            return
        self.phase = MovePhase.CONTINUING
        self._continue_at(self._order.target)

    def _return_to_source(self, reason: str) -> None:
        """Continue a run where it stopped, as the target did not take it over."""
        self._attempt.stop()
        if not self._has_stopped or self._source.run_ended:
            self._lose(reason)
        elif not self.has_unused_retry and not self._run.spend_retry():
            self._lose('retry-bound')
        else:
            self._log(FAILED, reason)
            self.phase = MovePhase.RETURNING
            self._continue_at(self._source)

    def _continue_at(self, record: EndpointRecord) -> None:
        old = self._attempt.choice
        choice = Choice(
            record,
            0,
            0.0,
            latency_sensitive=old.latency_sensitive,
            isolated=old.isolated,
            rank=old.rank,
        )
        continuation = Continuation(self._source.entry.address, self._handle)
        self._continuing = self._run.continue_run(choice, continuation)

    def _can_use_target(self) -> bool:
        entry, roster = self._order.target.entry, self._parts.roster
        listed = roster.get(entry.endpoint)
        return (
            listed is self._order.target
            and not roster.is_leaving(entry)
            and entry.software_version == self._source.entry.software_version
        )

    # -- events of the attempts

    def handle_event(self, attempt: Attempt) -> None:
        """Handle an event of the stream; the first one completes a continuation."""
        if attempt is self._continuing:
            self._complete()

    def absorb_end(self, attempt: Attempt) -> bool:
        """Return whether the end of a response belongs to the move.

        An engine that was told to stop a run may have ended it before.  Whether a stream
        is complete is then decided by the engine's response to that.

        :param attempt: the attempt whose response is complete.
        """
        response = attempt.response
        assert response is not None
        if attempt is self._continuing:
            if not _continues(attempt):
                return self.absorb_failure(attempt, response.kind.name.lower())
            self._complete()
            return False
        if self.phase is MovePhase.STOPPING:
            self._has_held_end = True
            return True
        if self.phase is MovePhase.HELD and not self._is_whole():
            self._use_copy('stream-ended')
            return True
        return False

    def absorb_failure(self, attempt: Attempt, reason: str) -> bool:
        """Return whether a failed attempt belongs to the move, which goes on without it.

        :param attempt: the attempt, which has ended.
        :param reason: why it failed.
        """
        if attempt is self._continuing:
            return self._absorb_continuation(attempt, reason)
        if self.phase is MovePhase.STOPPING:
            return True
        if self.phase is MovePhase.HELD:
            self._use_copy(reason)
            return True
        self._fail(reason)
        return False

    def _absorb_continuation(self, attempt: Attempt, reason: str) -> bool:
        response = attempt.response
        if _continues(attempt):
            # The copy is used: the run is lost like that of any other engine.
            self._handle = ''
            self._fail(reason)
            return False
        self.has_unused_retry = not attempt.sent
        if response is None and reason != 'withheld':
            attempt.choice.record.health.record_unresponsive(self._now_ms())
        if self.phase is MovePhase.CONTINUING:
            self._return_to_source(reason)
        else:
            self._lose(reason)
        return True

    def abandon(self, reason: str) -> None:
        """Free the copy: the request has ended, or is sent to another engine.

        :param reason: why the move is of no use any more.
        """
        if self.phase is MovePhase.ENDED:
            return
        if self.phase in (MovePhase.HELD, MovePhase.RETURNING):
            self._end()
        else:
            self._fail(reason)

    # -- ends

    def _complete(self) -> None:
        self._handle = ''
        self.has_unused_retry = False
        if self.phase is MovePhase.CONTINUING:
            self._log(COMPLETED)
        self._end()

    def _fail(self, reason: str) -> None:
        self._log(FAILED, reason)
        self._end()

    def _lose(self, reason: str) -> None:
        is_logged = self.phase in (MovePhase.HELD, MovePhase.RETURNING)
        if not is_logged:
            self._log(FAILED, reason)
        self._end()
        self._run.run_lost(reason)

    def _end(self) -> None:
        self.phase = MovePhase.ENDED
        self._release(self._replaced)
        self._release(self._handle)
        self._handle = self._replaced = ''
        self._free_link()

    def _keep(self, handle: str) -> None:
        if self._handle and self._handle != handle:
            self._replaced = self._handle
        self._handle = handle
        lifetime_ms = self._order.handle_ms or DEFAULT_HANDLE_MS
        self._expires_ms = self._now_ms() + lifetime_ms

    def _release(self, handle: str) -> None:
        """Free a copy that will not be used."""
        if not handle:
            return
        entry = self._source.entry

        def send(outcome: PermitOutcome) -> None:
            if isinstance(outcome, Permit):
                self._parts.attempts.release(entry, handle, outcome)

        self._with_permit(send)

    def _free_link(self) -> None:
        on_link_free, self.on_link_free = self.on_link_free, None
        if on_link_free is not None:
            on_link_free()

    def _log(self, state: str, reason: str = '') -> None:
        now_ms = self._now_ms()
        paused_ms = now_ms - self._stopping_ms if state == COMPLETED else 0
        figures = MoveFigures(self._order.tokens, now_ms - self.started_ms, paused_ms)
        self._parts.moves.telemetry.move_changed(
            self._order.request_id,
            self._source.entry,
            self._order.target.entry.endpoint,
            state,
            figures,
            reason,
        )

    def _now_ms(self) -> int:
        return self._parts.clock.now_ms()


def _continues(attempt: Attempt) -> bool:
    """Return whether an engine has begun to continue a run."""
    response = attempt.response
    return (
        response is not None
        and response.kind is ResponseKind.SUCCESS
        and response.is_stream
    )
