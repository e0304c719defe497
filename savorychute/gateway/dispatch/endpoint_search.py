"""Finds an endpoint for each attempt of one request."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.chooser import open_records
from savorychute.gateway.dispatch.limited_endpoints import LimitedEndpoints
from savorychute.gateway.dispatch.need import Need
from savorychute.gateway.dispatch.rank_limits import is_last_tier

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.requests.admitted_request import AdmittedRequest
    from savorychute.gateway.requests.inbound_request import InboundRequest

# Rounds of load reports before a choice: of the likeliest engine, then of others.
MOST_ASKED = 2
# With a longer wait at the best other engine a limited one is asked first.
BUSY_MS = 150.0


class NotFound(Enum):
    """Why there is no endpoint now.

    ``ASKING`` calls back when answers have come.  ``CLOSED``: those that are left rest, or
    have taken all the calls that they state to take.
    """

    ASKING = auto()
    NONE_LEFT = auto()
    OVERLOADED = auto()
    CLOSED = auto()


class EndpointSearch:
    """Chooses among the endpoints that the request has not been sent to yet.

    :param parts: what all requests share.
    :param request: the request.
    :param admitted: what it is owed.
    """

    def __init__(
        self, parts: GatewayParts, request: InboundRequest, admitted: AdmittedRequest
    ) -> None:
        self._parts = parts
        self._request = request
        self._service = admitted.service
        self._need = Need(
            request.prompt,
            admitted.route.gap_target_ms,
            admitted.route.target_ms,
            admitted.rank,
        )
        self._limited = LimitedEndpoints(parts, request, admitted)
        self._tried: set[EndpointRun] = set()
        self._asked = 0
        self._anywhere = False
        # A limited endpoint that has given its permit.
        self._granted: Choice | None = None

    def find(
        self, now_ms: int, can_have_run: bool, on_answers: Callable[[], None]
    ) -> Choice | NotFound:
        """Return an endpoint for the next attempt, or why there is none.

        :param now_ms: the time.
        :param can_have_run: a request of which an attempt can have run is not refused
            for want of room: nobody could be told that it had not run.
        :param on_answers: called once after ``ASKING``, when the search should go on.
        """
        granted, self._granted = self._granted, None
        if granted is not None and granted.record in self._usable(now_ms):
            return self._settle(granted)
        found = self._find(now_ms, can_have_run, on_answers)
        if isinstance(found, NotFound):
            return found
        if not self._limited.is_limited(found.record):
            return self._settle(found)
        return self._ask_permit(found, now_ms, can_have_run, on_answers)

    def _find(
        self, now_ms: int, can_have_run: bool, on_answers: Callable[[], None]
    ) -> Choice | NotFound:
        """Return an endpoint, whether it needs a permit or not."""
        candidates = self._candidates(now_ms)
        if not candidates:
            return self._find_limited(now_ms, can_have_run)
        chooser = self._parts.chooser(self._service)
        need = self._need._replace(
            tries_again=bool(self._tried), anywhere=self._anywhere
        )
        wanted = [
            record
            for record in chooser.wants_reports(candidates, need, now_ms)
            if not self._limited.is_limited(record)
        ]
        if wanted and self._asked < MOST_ASKED:
            self._asked += 1
            self._parts.loads.refresh(wanted, on_answers)
            return NotFound.ASKING
        choice = chooser.choose(candidates, need, now_ms)
        if can_have_run or self._parts.guard.admits(choice, need, now_ms):
            return self._prefer_limited(choice, now_ms)
        if self._may_go_anywhere(need):
            return self._find(now_ms, can_have_run, on_answers)
        limited = self._choose_limited(now_ms)
        if limited is not None and self._admits(limited, now_ms):
            return limited
        self._tell_shed(choice, need, now_ms)
        return NotFound.OVERLOADED

    def _admits(self, choice: Choice, now_ms: int) -> bool:
        return self._parts.guard.admits(choice, self._need, now_ms)

    def _tell_shed(self, choice: Choice, need: Need, now_ms: int) -> None:
        limit = self._parts.guard.binding_limit(choice, need, now_ms)
        self._parts.telemetry.request_shed(self._request, choice, need, limit, now_ms)

    def _may_go_anywhere(self, need: Need) -> bool:
        """Let a request look once more, at the engines of all lanes.

        The engines of its lane may be full while others begin what is less urgent; the
        last tier has none below it.
        """
        if self._anywhere or need.prompt is None or is_last_tier(need.rank):
            return False
        self._anywhere = True
        self._asked = MOST_ASKED - 1
        return True

    def has_other(self, now_ms: int) -> bool:
        """Return whether there is an endpoint that has not had the request."""
        return bool(self._open(self._usable(now_ms), now_ms))

    def take_back(self, run: EndpointRun) -> None:
        """Take in that a request did not leave for an endpoint after all.

        :param run: of the endpoint.
        """
        self._tried.discard(run)

    def wait_ms(self, now_ms: int) -> int:
        """Return how long it takes until an endpoint may take the request.

        :param now_ms: the time.
        """
        waits_ms = (
            max(self._rest_ms(record, now_ms), self._limited.wait_ms(record, now_ms))
            for record in self._listed()
        )
        return min(waits_ms, default=0)

    def _rest_ms(self, record: EndpointRecord, now_ms: int) -> int:
        return self._parts.statements.rests.left_ms(record.entry.run, now_ms)

    # -- limited endpoints

    def _find_limited(self, now_ms: int, can_have_run: bool) -> Choice | NotFound:
        """Return a limited endpoint for a request that has no other one."""
        choice = self._choose_limited(now_ms)
        if choice is None:
            is_closed = any(self._is_closed(each, now_ms) for each in self._listed())
            return NotFound.CLOSED if is_closed else NotFound.NONE_LEFT
        if can_have_run or self._admits(choice, now_ms):
            return choice
        return NotFound.OVERLOADED

    def _is_closed(self, record: EndpointRecord, now_ms: int) -> bool:
        is_resting = self._rest_ms(record, now_ms) > 0
        return is_resting or self._limited.is_limited(record)

    def _prefer_limited(self, choice: Choice, now_ms: int) -> Choice:
        """Return a limited endpoint in place of a choice, if there is a reason."""
        usable = self._usable(now_ms)
        if choice.load_known and choice.wait_ms > BUSY_MS:
            records = self._limited.find_open(usable, now_ms)
        else:
            records = self._limited.find_due(usable, now_ms)
        return self._choose_among(records, now_ms) or choice

    def _choose_limited(self, now_ms: int) -> Choice | None:
        records = self._limited.find_open(self._usable(now_ms), now_ms)
        return self._choose_among(records, now_ms)

    def _choose_among(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> Choice | None:
        untried = self._open(records, now_ms)
        if not untried:
            return None
        need = self._need._replace(tries_again=True, anywhere=True)
        return self._parts.chooser(self._service).choose(untried, need, now_ms)

    def _ask_permit(
        self,
        choice: Choice,
        now_ms: int,
        can_have_run: bool,
        on_answers: Callable[[], None],
    ) -> Choice | NotFound:
        """Return a choice that has got its permit, or another one if it has not."""
        answered = False
        waits = False

        def take(granted: Choice | None) -> None:
            nonlocal answered
            answered = True
            self._granted = granted
            if waits:
                on_answers()

        self._limited.ask(choice, take)
        if answered:
            return self.find(now_ms, can_have_run, on_answers)
        waits = True
        return NotFound.ASKING

    # -- candidates

    def _candidates(self, now_ms: int) -> list[EndpointRecord]:
        """Return the endpoints that are chosen from first."""
        usable = [
            record
            for record in self._usable(now_ms)
            if not self._limited.goes_last(record, now_ms)
        ]
        return self._open(usable, now_ms)

    def _usable(self, now_ms: int) -> list[EndpointRecord]:
        return [each for each in self._listed() if not self._rest_ms(each, now_ms)]

    def _listed(self) -> list[EndpointRecord]:
        return self._parts.roster.usable(self._service.name)

    def _open(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        passed_over = frozenset(self._tried | self._limited.denied)
        return open_records(records, passed_over, now_ms)

    def _settle(self, choice: Choice) -> Choice:
        self._tried.add(choice.record.entry.run)
        self._limited.begin_anew()
        self._asked = 0
        return choice
