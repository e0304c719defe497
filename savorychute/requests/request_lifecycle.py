"""The lifecycle of one request as a state machine."""

from __future__ import annotations

from collections import deque

from savorychute.errors import IllegalTransitionError
from savorychute.ran import Ran
from savorychute.requests.request_event import RequestEvent
from savorychute.requests.request_state import RequestState
from savorychute.requests.request_transitions import FINAL_STATES, TRANSITIONS

MAX_EARLY_EVENTS = 8
MAX_LATE_EVENTS = 24


class RequestLifecycle:
    """The state of one request, and whether any endpoint may have run it.

    An attempt is *in doubt* from the moment its first byte may be sent until its
    endpoint proves that it did not start the request.  ``NOT_RUN`` can be reached
    only while no attempt is in doubt, whichever transitions led there.

    :param request_id: the id of the request.
    :param received_ms: when the request was received completely.
    :param is_resumed: true if the caller sent a continuation handle, so that the
        request has already run.
    :param has_key: true if the caller sent a request key; until
        :meth:`mark_key_decided` is called, an earlier attempt under the key may
        have run at another instance.
    """

    def __init__(
        self,
        request_id: str,
        received_ms: int,
        is_resumed: bool = False,
        has_key: bool = False,
    ) -> None:
        self.request_id = request_id
        self.received_ms = received_ms
        self.state = RequestState.RECEIVED
        self.dropped_events = 0
        self._ran_before = is_resumed
        self._key_undecided = has_key
        self._in_doubt: set[str] = set()
        self._early: list[RequestEvent] = []
        self._late: deque[RequestEvent] = deque(maxlen=MAX_LATE_EVENTS)

    @property
    def can_claim_not_run(self) -> bool:
        """Whether it is certain that no endpoint started the request."""
        if self._ran_before or self._key_undecided:
            return False
        return not self._in_doubt

    @property
    def is_final(self) -> bool:
        """Whether the request is in a final state."""
        return self.state in FINAL_STATES

    @property
    def ran(self) -> Ran:
        """Whether the request ran, as far as this can be reported to the caller."""
        if self.state is RequestState.ANSWERED:
            return Ran.RAN
        if self.state is RequestState.UNKNOWN or not self.can_claim_not_run:
            return Ran.UNKNOWN
        return Ran.NOT_RUN

    @property
    def history(self) -> tuple[RequestEvent, ...]:
        """The earliest and the latest transitions, oldest first."""
        return (*self._early, *self._late)

    def transition(
        self, state: RequestState, now_ms: int, reason: str, attempt_id: str = ''
    ) -> None:
        """Change to another state.

        :param state: the next state.
        :param now_ms: the current time.
        :param reason: the reason, for ``explain`` and the log.
        :param attempt_id: the attempt concerned; required for ``SENDING``.
        :raises IllegalTransitionError: if the state machine has no such transition,
            or if the request may have run and *state* is ``NOT_RUN``.
        """
        self._check(state, attempt_id)
        if state is RequestState.SENDING:
            self._in_doubt.add(attempt_id)
        event = RequestEvent(now_ms, self.state, state, reason, attempt_id)
        self.state = state
        self._record(event)

    def mark_not_started(self, attempt_id: str) -> None:
        """Record that an attempt is no longer in doubt.

        :param attempt_id: an attempt whose endpoint proved that it did not start the
            request, or of which this host sent no byte.
        """
        self._in_doubt.discard(attempt_id)

    def mark_key_decided(self) -> None:
        """Record that the key manager permitted a run or confirmed ``NOT_RUN``.

        Until then, a deadline or a quarantine that ends the request must not report
        ``NOT_RUN``: an earlier attempt under the same key may be running.
        """
        self._key_undecided = False

    def _check(self, state: RequestState, attempt_id: str) -> None:
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.request_id, self.state, state)
        if state is RequestState.NOT_RUN and not self.can_claim_not_run:
            raise IllegalTransitionError(self.request_id, self.state, state)
        if state is RequestState.SENDING and not attempt_id:
            raise IllegalTransitionError(self.request_id, self.state, state)

    def _record(self, event: RequestEvent) -> None:
        if len(self._early) < MAX_EARLY_EVENTS:
            self._early.append(event)
            return
        if len(self._late) == MAX_LATE_EVENTS:
            self.dropped_events += 1
        self._late.append(event)
