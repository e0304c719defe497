"""Asks engines for their load when a decision needs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.gateway.permits.permit import Denial, Permit
from savorychute.gateway.requests.rank import LEAST_URGENT_RANK

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from savorychute.clock import Clock
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.endpoint_roster import EndpointRoster
    from savorychute.gateway.endpoints.engine_load import EngineLoad
    from savorychute.gateway.endpoints.statement_book import StatementBook
    from savorychute.gateway.permits.permit import Outcome
    from savorychute.gateway.permits.permit_desk import PermitDesk
    from savorychute.gateway.requests.attempt_port import AttemptPort


class LoadWatch:
    """Fetches reports, each engine's once for all requests that wait for it.

    Reports cost the engine little and the users a price for each; asked only for the
    engines between which a long prompt has to choose, they are few, and as fresh as a
    report can be.  Polling all engines all the time costs more and is staler.

    :param attempts: how engines are asked.
    :param roster: is told of an engine that has begun again.
    :param statements: what engines say of themselves.
    :param permits: for engines that take only so many calls.
    :param clock: the time.
    """

    def __init__(
        self,
        attempts: AttemptPort,
        roster: EndpointRoster,
        statements: StatementBook,
        permits: PermitDesk,
        clock: Clock,
    ) -> None:
        self._attempts = attempts
        self._roster = roster
        self._statements = statements
        self._permits = permits
        self._clock = clock
        self._waiting: dict[EndpointRun, list[Callable[[bool], None]]] = {}

    def refresh(
        self, records: Sequence[EndpointRecord], on_done: Callable[[], None]
    ) -> None:
        """Ask some engines, and call back when all have answered or failed to.

        :param records: the engines, at least one.
        :param on_done: called once.
        """
        left = len(records)

        def count(lives: bool) -> None:  # noqa: ARG001
            nonlocal left
            left -= 1
            if left == 0:
                on_done()

        for record in records:
            self.ask(record, count)

    def ask(
        self,
        record: EndpointRecord,
        on_result: Callable[[bool], None],
        rank: int = LEAST_URGENT_RANK,
    ) -> None:
        """Ask one engine; tell whether it answered in time.

        One that may not be called now, because it rests or states a limit, is taken for
        alive.

        :param record: the engine.
        :param on_result: called once.
        :param rank: of the request that wants to know.
        """
        run = record.entry.run
        waiting = self._waiting.get(run)
        if waiting is not None:
            waiting.append(on_result)
            return
        self._waiting[run] = [on_result]

        def take(load: EngineLoad | None) -> None:
            lives = load is not None and self._take(record, load)
            for callback in self._waiting.pop(run, ()):
                callback(lives)

        def go_on(outcome: Outcome) -> None:
            if isinstance(outcome, Permit):
                self._attempts.probe(record.entry, take, outcome)
                return
            for callback in self._waiting.pop(run, ()):
                callback(True)

        rest_ms = self._statements.rests.left_ms(run, self._clock.now_ms())
        if rest_ms:
            go_on(Denial(rest_ms))
            return
        outcome = self._permits.request(run, rank, go_on)
        if outcome is not None:
            go_on(outcome)

    def _take(self, record: EndpointRecord, load: EngineLoad) -> bool:
        """Take a report in; return whether the run that was asked made it."""
        entry = record.entry
        if load.born_ms != entry.born_ms and load.born_ms and entry.born_ms:
            self._roster.began_again(EndpointRun(entry.endpoint, load.born_ms))
            return False
        record.report(load, self._clock.now_ms())
        if load.leaving:
            self._statements.leaving.state(entry.run, self._clock.now_ms())
        return True
