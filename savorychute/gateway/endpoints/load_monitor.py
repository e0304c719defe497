"""Queries the load of engines when a decision needs it."""

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
    from savorychute.gateway.endpoints.statement_table import StatementTable
    from savorychute.gateway.permits.permit import PermitOutcome
    from savorychute.gateway.permits.permit_handler import PermitHandler
    from savorychute.gateway.requests.attempt_port import AttemptPort


class LoadMonitor:
    """Fetches load reports, one per engine for all requests that wait for it.

    A report costs the engine little, but the users pay a price for each.  Reports are
    requested only from the engines among which one is chosen for a long prompt, so they
    are few and fresh.  Continuous polling of all engines costs more, and its reports are
    older.

    :param attempts: sends the queries.
    :param roster: is notified of an engine that has restarted.
    :param statements: the statements of engines.
    :param permits: grants calls to engines that state limits.
    :param clock: the clock.
    """

    def __init__(
        self,
        attempts: AttemptPort,
        roster: EndpointRoster,
        statements: StatementTable,
        permits: PermitHandler,
        clock: Clock,
    ) -> None:
        self._attempts = attempts
        self._roster = roster
        self._statements = statements
        self._permits = permits
        self._clock = clock
        self._callbacks: dict[EndpointRun, list[Callable[[bool], None]]] = {}

    def refresh(
        self, records: Sequence[EndpointRecord], on_done: Callable[[], None]
    ) -> None:
        """Query some engines, and call back when all have responded or failed.

        :param records: the engines, at least one.
        :param on_done: called once.
        """
        remaining = len(records)

        def count_result(is_alive: bool) -> None:  # noqa: ARG001
            nonlocal remaining
            remaining -= 1
            if remaining == 0:
                on_done()

        for record in records:
            self.query(record, count_result)

    def query(
        self,
        record: EndpointRecord,
        on_result: Callable[[bool], None],
        rank: int = LEAST_URGENT_RANK,
    ) -> None:
        """Query one engine, and call back with whether it responded in time.

        An engine that must not be called now, because it requested a backoff or denies
        a permit, is treated as alive.

        :param record: the engine.
        :param on_result: called once.
        :param rank: rank of the request that needs the result.
        """
        run = record.entry.run
        callbacks = self._callbacks.get(run)
        if callbacks is not None:
            callbacks.append(on_result)
            return
        self._callbacks[run] = [on_result]

        def handle_load(load: EngineLoad | None) -> None:
            is_alive = load is not None and self._apply_report(record, load)
            for callback in self._callbacks.pop(run, ()):
                callback(is_alive)

        def handle_outcome(outcome: PermitOutcome) -> None:
            if isinstance(outcome, Permit):
                self._attempts.probe(record.entry, handle_load, outcome)
                return
            for callback in self._callbacks.pop(run, ()):
                callback(True)

        backoff_ms = self._statements.backoffs.remaining_ms(run, self._clock.now_ms())
        if backoff_ms:
            handle_outcome(Denial(backoff_ms))
            return
        outcome = self._permits.request(run, rank, handle_outcome)
        if outcome is not None:
            handle_outcome(outcome)

    def _apply_report(self, record: EndpointRecord, load: EngineLoad) -> bool:
        """Apply a report; return whether the queried run made it."""
        entry = record.entry
        if load.born_ms != entry.born_ms and load.born_ms and entry.born_ms:
            self._roster.apply_restart(EndpointRun(entry.endpoint, load.born_ms))
            return False
        record.apply_report(load, self._clock.now_ms())
        if load.leaving:
            self._statements.leaving.record_leaving(entry.run, self._clock.now_ms())
        return True
