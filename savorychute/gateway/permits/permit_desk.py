"""Asks for permits to call endpoints that state limits, and hands out some."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.permits.permit import Denial, Outcome, Permit
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_home import PermitHome
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.gateway.permits.permit_room import SCARCE_WAIT_MS, PermitRoom
from savorychute.gateway.requests.rank import tier_of
from savorychute.membership.rendezvous import choose_homes

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.endpoints.limit_table import LimitTable, StatedLimit
    from savorychute.gateway.requests.attempt_port import TimerHandle, TimerPort
    from savorychute.member_address import MemberAddress
    from savorychute.membership.member_view import MemberView

# Between failure domains an answer takes a few ms.  A datagram may be lost, so the home is
# asked once more.
ANSWER_MS = 40
MOST_TRIES = 2
# A call that has not been sent by then, for want of a connection, needs another permit.
PERMIT_MS = 500
# After a home that did not answer, or that takes another instance for the home.  It says
# nothing of the room at the endpoint, so it is shorter than what does.
NO_HOME_MS = SCARCE_WAIT_MS - 50
# Only an answer tells that a limit has ended, so an endpoint is called once in a while.
CONFIRM_MS = 5_000


class _Asked(NamedTuple):
    """A question under way, and who waits for its answer."""

    run: EndpointRun
    tier: int
    asked_ms: int
    tries: int
    timer: TimerHandle
    on_outcome: Callable[[Outcome], None]


class PermitDesk:
    """Gets a permit for each call to an endpoint that states a limit.

    The limit is of all instances together, so one of them counts the calls: the endpoint's
    home, which all choose alike among the members that are alive.  An instance that does
    not reach it calls the endpoint not at all.

    :param limits: that endpoints state.
    :param clock: the time.
    :param timers: end the wait for a home.
    """

    def __init__(self, limits: LimitTable, clock: Clock, timers: TimerPort) -> None:
        self._limits = limits
        self._clock = clock
        self._timers = timers
        self._home = PermitHome()
        self._room = PermitRoom()
        self._view: MemberView | None = None
        self._homes: dict[EndpointRun, MemberAddress] = {}
        self._asked: dict[int, _Asked] = {}
        self._sequence = 0
        # Sends a message to another instance at once.
        self.send: Callable[[SendPeer], None] | None = None

    # -- what is known here

    def is_limited(self, run: EndpointRun) -> bool:
        """Return whether calls to an endpoint need a permit.

        :param run: of the endpoint.
        """
        return self._limits.limit(run) is not None

    def is_scarce(self, run: EndpointRun, now_ms: int) -> bool:
        """Return whether a limited endpoint denied a call lately.

        :param run: of the endpoint.
        :param now_ms: the time.
        """
        per_s = self._limits.limit_per_s(run)
        return per_s is not None and self._room.is_scarce(run, per_s, now_ms)

    def is_due(self, run: EndpointRun, now_ms: int) -> bool:
        """Return whether nobody has heard for a while that an endpoint's limit stands.

        :param run: of the endpoint.
        :param now_ms: the time.
        """
        limit = self._limits.limit(run)
        return limit is not None and now_ms - limit.stated_ms >= CONFIRM_MS

    def wait_ms(self, run: EndpointRun, rank: int, now_ms: int) -> int:
        """Return how long a request need not ask for a permit; 0 if it may.

        :param run: of the endpoint.
        :param rank: the request's urgency.
        :param now_ms: the time.
        """
        per_s = self._limits.limit_per_s(run)
        if per_s is None:
            return 0
        return self._room.wait_ms(run, tier_of(rank), per_s, now_ms)

    def may_send(self, run: EndpointRun, permit: Permit | None, now_ms: int) -> bool:
        """Return whether a call may be sent now.

        :param run: of the endpoint.
        :param permit: that was got for it.
        :param now_ms: the time.
        """
        if not self.is_limited(run):
            return True
        return permit is not None and permit.run == run and now_ms <= permit.ends_ms

    # -- asking

    def request(
        self, run: EndpointRun, rank: int, on_outcome: Callable[[Outcome], None]
    ) -> Outcome | None:
        """Return a permit or a denial; None if the home has to be asked.

        :param run: of the endpoint.
        :param rank: the request's urgency.
        :param on_outcome: called once, later, only after None.
        """
        now_ms = self._clock.now_ms()
        tier = tier_of(rank)
        limit = self._limits.limit(run)
        if limit is None:
            return Permit(run, now_ms + PERMIT_MS)
        closed_ms = self.wait_ms(run, rank, now_ms)
        if closed_ms:
            return Denial(closed_ms)
        home = self._find_home(run)
        if home is None:
            wait_ms = self._take(run, limit, tier, now_ms)
            return self._conclude(run, tier, wait_ms, now_ms)
        self._ask(home, run, tier, 1, on_outcome)
        return None

    def _ask(
        self,
        home: MemberAddress,
        run: EndpointRun,
        tier: int,
        tries: int,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        now_ms = self._clock.now_ms()
        limit = self._limits.limit(run)
        if limit is None or limit.per_s is None:
            on_outcome(Permit(run, now_ms + PERMIT_MS))
            return
        self._sequence += 1
        sequence = self._sequence
        timer = self._timers.call_later(ANSWER_MS, lambda: self._unanswered(sequence))
        self._asked[sequence] = _Asked(run, tier, now_ms, tries, timer, on_outcome)
        age_ms = now_ms - limit.stated_ms
        question = PermitQuestion(sequence, run, limit.per_s, age_ms, tier)
        if self.send is not None:
            self.send(SendPeer(home.instance, home.host, home.peer_port, question))

    def _unanswered(self, sequence: int) -> None:
        asked = self._asked.pop(sequence)
        home = self._find_home(asked.run)
        if home is not None and asked.tries < MOST_TRIES:
            self._ask(home, asked.run, asked.tier, asked.tries + 1, asked.on_outcome)
            return
        now_ms = self._clock.now_ms()
        outcome = self._conclude(asked.run, asked.tier, NO_HOME_MS, now_ms)
        asked.on_outcome(outcome)

    def take_answer(self, answer: PermitAnswer) -> None:
        """Take in what a home answers; late answers are of no use.

        :param answer: to a question of this instance.
        """
        asked = self._asked.pop(answer.sequence, None)
        if asked is None:
            return
        asked.timer.cancel()
        asked.on_outcome(
            self._conclude(asked.run, asked.tier, answer.wait_ms, asked.asked_ms)
        )

    def _conclude(
        self, run: EndpointRun, tier: int, wait_ms: int, asked_ms: int
    ) -> Outcome:
        if wait_ms == 0:
            return Permit(run, asked_ms + PERMIT_MS)
        per_s = self._limits.limit_per_s(run) or 0.0
        self._room.deny(run, tier, wait_ms, per_s, self._clock.now_ms())
        return Denial(wait_ms)

    # -- as a home

    def follow(self, view: MemberView) -> None:
        """Follow the members.

        :param view: who is alive.
        """
        if self._view is not None and view.alive is self._view.alive:
            return
        self._view = view
        self._homes.clear()
        self._home.keep(lambda run: self._find_home(run) is None)

    def answer(self, question: PermitQuestion) -> PermitAnswer:
        """Return whether another instance may call an endpoint.

        :param question: of the other instance.
        """
        now_ms = self._clock.now_ms()
        run = question.run
        self._limits.record_reported_limit(
            run, question.limit_per_s, question.age_ms, now_ms
        )
        limit = self._limits.limit(run)
        if limit is None:
            return PermitAnswer(question.sequence, 0)
        if self._find_home(run) is not None:
            return PermitAnswer(question.sequence, NO_HOME_MS)
        wait_ms = self._take(run, limit, question.tier, now_ms)
        return PermitAnswer(question.sequence, wait_ms)

    def _take(
        self, run: EndpointRun, limit: StatedLimit, tier: int, now_ms: int
    ) -> int:
        return self._home.take(run, limit.per_s or 0.0, tier, now_ms)

    def _find_home(self, run: EndpointRun) -> MemberAddress | None:
        """Return the home of an endpoint, or None if that is this instance."""
        view = self._view
        if view is None:
            return None
        home = self._homes.get(run)
        if home is None:
            key = f'{run.endpoint}/{run.born_ms}'
            (home,) = choose_homes(key, view.alive or (view.own,), 1)
            self._homes[run] = home
        return home if home.instance != view.own.instance else None
