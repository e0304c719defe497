"""Finds an endpoint for each attempt of one request."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.chooser import open_records
from savorychute.gateway.dispatch.need import Need
from savorychute.gateway.dispatch.rank_limits import is_last_tier
from savorychute.gateway.permits.permit import Permit

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.parts import GatewayParts
    from savorychute.gateway.permits.permit import Outcome
    from savorychute.gateway.requests.admitted import Admitted
    from savorychute.gateway.requests.inbound_request import InboundRequest

# Rounds of load reports before a choice: of the likeliest engine, then of others.
MOST_ASKED = 2
# Permits of limited endpoints that a request asks for, one after the other.
MOST_PERMITS = 4


class NotFound(Enum):
    """Why there is no endpoint now; ``ASKING`` calls back when answers have come."""

    ASKING = auto()
    NONE_LEFT = auto()
    OVERLOADED = auto()
    LIMITED = auto()


class EndpointSearch:
    """Chooses among the endpoints that the request has not been sent to yet.

    Endpoints that denied a call lately, because they state a limit, are the last choice:
    they are in need, and a question for a permit takes time.

    :param parts: what all requests share.
    :param request: the request.
    :param admitted: what it is owed.
    """

    def __init__(
        self, parts: GatewayParts, request: InboundRequest, admitted: Admitted
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
        self._tried: set[EndpointRun] = set()
        self._asked = 0
        self._permits_asked = 0
        self._granted: Choice | None = None
        self._anywhere = False
        self._on_answers: Callable[[], None] | None = None

    def find(
        self, now_ms: int, can_have_run: bool, on_answers: Callable[[], None]
    ) -> Choice | NotFound:
        """Return an endpoint for the next attempt, or why there is none.

        :param now_ms: the time.
        :param can_have_run: a request of which an attempt can have run is not refused
            for want of room: nobody could be told that it had not run.
        :param on_answers: called once after ``ASKING``, when the search should go on.
        """
        self._on_answers = on_answers
        granted, self._granted = self._granted, None
        if granted is not None and granted.record in self._usable():
            return self._settle(granted)
        candidates = self._candidates(now_ms)
        if not candidates:
            return self._find_limited(now_ms, can_have_run, NotFound.NONE_LEFT)
        chooser = self._parts.chooser(self._service)
        need = self._need._replace(
            tries_again=bool(self._tried), anywhere=self._anywhere
        )
        wanted = self._unlimited(chooser.wants_reports(candidates, need, now_ms))
        if wanted and self._asked < MOST_ASKED:
            self._asked += 1
            self._parts.loads.refresh(wanted, on_answers)
            return NotFound.ASKING
        choice = chooser.choose(candidates, need, now_ms)
        if not can_have_run and not self._parts.guard.admits(choice, need, now_ms):
            if self._may_go_anywhere(need):
                return self.find(now_ms, can_have_run, on_answers)
            limited = self._find_limited(now_ms, can_have_run, NotFound.OVERLOADED)
            if limited is NotFound.OVERLOADED:
                self._tell_shed(choice, need, now_ms)
            return limited
        return self._get_leave(choice, now_ms, can_have_run)

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
        return bool(self._candidates(now_ms))

    def take_back(self, run: EndpointRun) -> None:
        """Take in that a request did not leave for an endpoint after all.

        :param run: of the endpoint.
        """
        self._tried.discard(run)

    def wait_ms(self, now_ms: int) -> int:
        """Return how long it takes until a limited endpoint may take the request.

        :param now_ms: the time.
        """
        waits_ms = (
            self._parts.permits.wait_ms(record.entry.run, self._need.rank, now_ms)
            for record in self._limited(now_ms)
        )
        return min(waits_ms, default=0)

    # -- limited endpoints

    def _get_leave(
        self, choice: Choice, now_ms: int, can_have_run: bool
    ) -> Choice | NotFound:
        """Return a choice that may be called, once there is a permit if it needs one."""
        run = choice.record.entry.run
        if not self._parts.permits.is_limited(run):
            return self._settle(choice)
        if self._permits_asked >= MOST_PERMITS:
            return NotFound.LIMITED
        self._permits_asked += 1
        outcome = self._parts.permits.request(
            run, self._need.rank, lambda outcome: self._permit_came(choice, outcome)
        )
        if outcome is None:
            return NotFound.ASKING
        self._take_outcome(choice, outcome)
        assert self._on_answers is not None
        return self.find(now_ms, can_have_run, self._on_answers)

    def _permit_came(self, choice: Choice, outcome: Outcome) -> None:
        self._take_outcome(choice, outcome)
        assert self._on_answers is not None
        self._on_answers()

    def _take_outcome(self, choice: Choice, outcome: Outcome) -> None:
        run = choice.record.entry.run
        self._parts.endpoint_telemetry.permit_decided(
            self._request.attempt_id, run, self._need.rank, outcome
        )
        if isinstance(outcome, Permit):
            self._granted = choice._replace(permit=outcome)

    def _find_limited(
        self, now_ms: int, can_have_run: bool, otherwise: NotFound
    ) -> Choice | NotFound:
        """Return a limited endpoint for a request that no other one takes.

        :param otherwise: why there is none where no endpoint is limited.
        """
        limited = self._limited(now_ms)
        if not limited:
            return otherwise
        now_open = [
            record
            for record in limited
            if not self._parts.permits.wait_ms(
                record.entry.run, self._need.rank, now_ms
            )
        ]
        if not now_open:
            return NotFound.LIMITED if otherwise is NotFound.NONE_LEFT else otherwise
        need = self._need._replace(tries_again=True, anywhere=True)
        choice = self._parts.chooser(self._service).choose(now_open, need, now_ms)
        if not can_have_run and not self._parts.guard.admits(choice, need, now_ms):
            return NotFound.OVERLOADED
        return self._get_leave(choice, now_ms, can_have_run)

    # -- candidates

    def _candidates(self, now_ms: int) -> list[EndpointRecord]:
        permits = self._parts.permits
        return self._open(
            [
                record
                for record in self._usable()
                if not permits.is_scarce(record.entry.run, now_ms)
            ],
            now_ms,
        )

    def _limited(self, now_ms: int) -> list[EndpointRecord]:
        permits = self._parts.permits
        return self._open(
            [each for each in self._usable() if permits.is_limited(each.entry.run)],
            now_ms,
        )

    def _usable(self) -> list[EndpointRecord]:
        return self._parts.roster.usable(self._service.name)

    def _open(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        return open_records(records, frozenset(self._tried), now_ms)

    def _unlimited(self, records: Sequence[EndpointRecord]) -> list[EndpointRecord]:
        """Return the engines whose load may be asked for without a permit."""
        permits = self._parts.permits
        return [each for each in records if not permits.is_limited(each.entry.run)]

    def _settle(self, choice: Choice) -> Choice:
        self._tried.add(choice.record.entry.run)
        self._asked = 0
        self._permits_asked = 0
        return choice
