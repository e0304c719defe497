"""Requests permits for calls to limited endpoints, and grants them as their home."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.actions.send_peer import SendPeer
from savorychute.gateway.permits.permit import Denial, Permit, PermitOutcome
from savorychute.gateway.permits.permit_allocator import PermitAllocator
from savorychute.gateway.permits.permit_answer import PermitAnswer
from savorychute.gateway.permits.permit_question import PermitQuestion
from savorychute.gateway.permits.recent_denials import SCARCE_WAIT_MS, RecentDenials
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

# A response between failure domains takes a few ms.  A datagram may be lost, so the home
# is queried once more.
RESPONSE_TIMEOUT_MS = 40
MAX_QUERIES = 2
# A call that is not sent by then, for lack of a connection, needs another permit.
PERMIT_LIFETIME_MS = 500
# Wait after a home that did not respond, or that considers another instance the home.
# It says nothing about the endpoint's capacity, so it is shorter than a wait that does.
NO_HOME_DELAY_MS = SCARCE_WAIT_MS - 50
# Only a response can state the end of a limit, so an endpoint is called at this
# interval.
CONFIRM_INTERVAL_MS = 5_000


class _PendingQuery(NamedTuple):
    """A query without a response yet, and the callback for its outcome."""

    run: EndpointRun
    tier: int
    asked_ms: int
    queries_sent: int
    timer: TimerHandle
    on_outcome: Callable[[PermitOutcome], None]


class PermitHandler:
    """Obtains a permit for each call to an endpoint that states a limit.

    The limit applies to all instances together, so one of them counts the calls: the
    home of the endpoint, which all instances choose identically among the live members.
    An instance that cannot reach the home does not call the endpoint.

    :param limits: limits that endpoints stated.
    :param clock: the clock.
    :param timers: timers for the timeouts of homes.
    """

    def __init__(self, limits: LimitTable, clock: Clock, timers: TimerPort) -> None:
        self._limits = limits
        self._clock = clock
        self._timers = timers
        self._allocator = PermitAllocator()
        self._denials = RecentDenials()
        self._view: MemberView | None = None
        self._homes: dict[EndpointRun, MemberAddress] = {}
        self._pending: dict[int, _PendingQuery] = {}
        self._sequence = 0
        # Sends a message to another instance immediately.
        self.send: Callable[[SendPeer], None] | None = None

    # -- local state

    def is_limited(self, run: EndpointRun) -> bool:
        """Return whether calls to an endpoint need a permit.

        :param run: the run of the endpoint.
        """
        return self._limits.limit(run) is not None

    def is_scarce(self, run: EndpointRun, now_ms: int) -> bool:
        """Return whether a limited endpoint denied a call recently.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        limit_per_s = self._limits.limit_per_s(run)
        return limit_per_s is not None and self._denials.is_scarce(
            run, limit_per_s, now_ms
        )

    def needs_confirmation(self, run: EndpointRun, now_ms: int) -> bool:
        """Return whether an endpoint's limit has not been stated for a while.

        :param run: the run of the endpoint.
        :param now_ms: the current time.
        """
        limit = self._limits.limit(run)
        return limit is not None and now_ms - limit.stated_ms >= CONFIRM_INTERVAL_MS

    def wait_ms(self, run: EndpointRun, rank: int, now_ms: int) -> int:
        """Return how long a request would be denied a permit; 0 if it can ask for one.

        :param run: the run of the endpoint.
        :param rank: rank of the request.
        :param now_ms: the current time.
        """
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            return 0
        return self._denials.wait_ms(run, tier_of(rank), limit_per_s, now_ms)

    def can_send(self, run: EndpointRun, permit: Permit | None, now_ms: int) -> bool:
        """Return whether a call can be sent now.

        :param run: the run of the endpoint.
        :param permit: the permit obtained for the call.
        :param now_ms: the current time.
        """
        if not self.is_limited(run):
            return True
        return permit is not None and permit.run == run and now_ms <= permit.expires_ms

    # -- requests for permits

    def request(
        self, run: EndpointRun, rank: int, on_outcome: Callable[[PermitOutcome], None]
    ) -> PermitOutcome | None:
        """Return a permit or a denial; None if the home has to be queried.

        :param run: the run of the endpoint.
        :param rank: rank of the request.
        :param on_outcome: called once, later, if None was returned.
        """
        now_ms = self._clock.now_ms()
        tier = tier_of(rank)
        limit = self._limits.limit(run)
        if limit is None:
            return Permit(run, now_ms + PERMIT_LIFETIME_MS)
        denied_ms = self.wait_ms(run, rank, now_ms)
        if denied_ms:
            return Denial(denied_ms)
        home = self._find_home(run)
        if home is None:
            wait_ms = self._acquire(run, limit, tier, now_ms)
            return self._make_outcome(run, tier, wait_ms, now_ms)
        self._query_home(home, run, tier, 1, on_outcome)
        return None

    def _query_home(
        self,
        home: MemberAddress,
        run: EndpointRun,
        tier: int,
        queries_sent: int,
        on_outcome: Callable[[PermitOutcome], None],
    ) -> None:
        now_ms = self._clock.now_ms()
        limit = self._limits.limit(run)
        if limit is None or limit.per_s is None:
            on_outcome(Permit(run, now_ms + PERMIT_LIFETIME_MS))
            return
        self._sequence += 1
        sequence = self._sequence
        timer = self._timers.call_later(
            RESPONSE_TIMEOUT_MS, lambda: self._handle_timeout(sequence)
        )
        self._pending[sequence] = _PendingQuery(
            run, tier, now_ms, queries_sent, timer, on_outcome
        )
        age_ms = now_ms - limit.stated_ms
        query = PermitQuestion(sequence, run, limit.per_s, age_ms, tier)
        if self.send is not None:
            self.send(SendPeer(home.instance, home.host, home.peer_port, query))

    def _handle_timeout(self, sequence: int) -> None:
        pending = self._pending.pop(sequence)
        home = self._find_home(pending.run)
        if home is not None and pending.queries_sent < MAX_QUERIES:
            self._query_home(
                home,
                pending.run,
                pending.tier,
                pending.queries_sent + 1,
                pending.on_outcome,
            )
            return
        now_ms = self._clock.now_ms()
        outcome = self._make_outcome(
            pending.run, pending.tier, NO_HOME_DELAY_MS, now_ms
        )
        pending.on_outcome(outcome)

    def handle_response(self, response: PermitAnswer) -> None:
        """Handle the response of a home; late responses are ignored.

        :param response: response to a query of this instance.
        """
        pending = self._pending.pop(response.sequence, None)
        if pending is None:
            return
        pending.timer.cancel()
        pending.on_outcome(
            self._make_outcome(
                pending.run, pending.tier, response.wait_ms, pending.asked_ms
            )
        )

    def _make_outcome(
        self, run: EndpointRun, tier: int, wait_ms: int, asked_ms: int
    ) -> PermitOutcome:
        if wait_ms == 0:
            return Permit(run, asked_ms + PERMIT_LIFETIME_MS)
        limit_per_s = self._limits.limit_per_s(run) or 0.0
        self._denials.record_denial(
            run, tier, wait_ms, limit_per_s, self._clock.now_ms()
        )
        return Denial(wait_ms)

    # -- as the home

    def set_view(self, view: MemberView) -> None:
        """Set the current members.

        :param view: the members that are alive.
        """
        if self._view is not None and view.alive is self._view.alive:
            return
        self._view = view
        self._homes.clear()
        self._allocator.retain_homes(lambda run: self._find_home(run) is None)

    def respond(self, query: PermitQuestion) -> PermitAnswer:
        """Return whether another instance may call an endpoint.

        :param query: query of the other instance.
        """
        now_ms = self._clock.now_ms()
        run = query.run
        self._limits.record_reported_limit(run, query.limit_per_s, query.age_ms, now_ms)
        limit = self._limits.limit(run)
        if limit is None:
            return PermitAnswer(query.sequence, 0)
        if self._find_home(run) is not None:
            return PermitAnswer(query.sequence, NO_HOME_DELAY_MS)
        wait_ms = self._acquire(run, limit, query.tier, now_ms)
        return PermitAnswer(query.sequence, wait_ms)

    def _acquire(
        self, run: EndpointRun, limit: StatedLimit, tier: int, now_ms: int
    ) -> int:
        return self._allocator.acquire(run, limit.per_s or 0.0, tier, now_ms)

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
