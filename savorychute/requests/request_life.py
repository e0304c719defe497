"""The life of one request as a state machine."""

from __future__ import annotations

from collections import deque

from savorychute.errors import IllegalTransitionError
from savorychute.ran import Ran
from savorychute.requests.request_event import RequestEvent
from savorychute.requests.request_state import RequestState
from savorychute.requests.request_transitions import FINAL_STATES, TRANSITIONS

EARLY_EVENTS = 8
LATE_EVENTS = 24


class RequestLife:
    """Where one request stands, and whether any endpoint may have run it.

    An attempt is *in doubt* from the moment its first byte may leave until its
    endpoint proves that it did not start.  ``NOT_RUN`` can be reached only
    while no attempt is in doubt, whichever way the request came there.

    :param request_id: the request's id.
    :param received_ms: when it was read completely.
    :param resumes: true if the caller brought a continuation handle, so that
        the request has run before it came here.
    :param keyed: true if the caller brought a request key; an earlier try may
        have run elsewhere until :meth:`decide_key` says what became of it.
    """

    def __init__(
        self,
        request_id: str,
        received_ms: int,
        resumes: bool = False,
        keyed: bool = False,
    ) -> None:
        self.request_id = request_id
        self.received_ms = received_ms
        self.state = RequestState.RECEIVED
        self.dropped_events = 0
        self._ran_before = resumes
        self._key_undecided = keyed
        self._doubted: set[str] = set()
        self._early: list[RequestEvent] = []
        self._late: deque[RequestEvent] = deque(maxlen=LATE_EVENTS)

    @property
    def may_claim_not_run(self) -> bool:
        """Whether it is certain that no endpoint started the request."""
        if self._ran_before or self._key_undecided:
            return False
        return not self._doubted

    @property
    def is_final(self) -> bool:
        """Whether the request has its last state."""
        return self.state in FINAL_STATES

    @property
    def ran(self) -> Ran:
        """What a caller may be told now about the execution."""
        if self.state is RequestState.ANSWERED:
            return Ran.RAN
        if self.state is RequestState.UNKNOWN or not self.may_claim_not_run:
            return Ran.UNKNOWN
        return Ran.NOT_RUN

    @property
    def history(self) -> tuple[RequestEvent, ...]:
        """The first and the latest transitions, oldest first."""
        return (*self._early, *self._late)

    def move(
        self, state: RequestState, now_ms: int, reason: str, attempt_id: str = ''
    ) -> None:
        """Go to another state.

        :param state: the next state.
        :param now_ms: the time.
        :param reason: why, for ``explain`` and the log.
        :param attempt_id: the attempt that it is about; ``SENDING`` needs one.
        :raises IllegalTransitionError: if the machine has no such transition,
            or if the request may have run and *state* is ``NOT_RUN``.
        """
        self._check(state, attempt_id)
        if state is RequestState.SENDING:
            self._doubted.add(attempt_id)
        event = RequestEvent(now_ms, self.state, state, reason, attempt_id)
        self.state = state
        self._remember(event)

    def prove_not_started(self, attempt_id: str) -> None:
        """Take an attempt out of doubt.

        :param attempt_id: an attempt whose endpoint proved that it did not
            start, or of which no byte left this host.
        """
        self._doubted.discard(attempt_id)

    def decide_key(self) -> None:
        """Note that the key keeper permitted a run, or vouched for 'not run'.

        Before that, a deadline or a quarantine that ends the request must not
        say 'not run': a first try under the same key may be running.
        """
        self._key_undecided = False

    def _check(self, state: RequestState, attempt_id: str) -> None:
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.request_id, self.state, state)
        if state is RequestState.NOT_RUN and not self.may_claim_not_run:
            raise IllegalTransitionError(self.request_id, self.state, state)
        if state is RequestState.SENDING and not attempt_id:
            raise IllegalTransitionError(self.request_id, self.state, state)

    def _remember(self, event: RequestEvent) -> None:
        if len(self._early) < EARLY_EVENTS:
            self._early.append(event)
            return
        if len(self._late) == LATE_EVENTS:
            self.dropped_events += 1
        self._late.append(event)
