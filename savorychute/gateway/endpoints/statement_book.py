"""What endpoints have said of themselves, by run."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.gateway.endpoints.endpoint_run import EndpointRun
    from savorychute.gateway.endpoints.endpoint_statement import EndpointStatement

# Runs of which something is remembered, the newest.
RUNS_KEPT = 4_096


class _Limit(NamedTuple):
    """A limit, or its absence, and when an endpoint stated it."""

    per_s: float | None
    stated_ms: int


class StatementBook:
    """Keeps the newest statements of each run of an endpoint.

    Answers come out of order: one without a limit takes a limit back only if its call was
    sent after the last answer that stated one.

    :param on_limit: called with each run whose limit changes, and the new one.
    """

    def __init__(self, on_limit: Callable[[EndpointRun, float | None], None]) -> None:
        self._on_limit = on_limit
        self._limits: dict[EndpointRun, _Limit] = {}

    def take(
        self, run: EndpointRun, statement: EndpointStatement, sent_ms: int, now_ms: int
    ) -> None:
        """Take in what an answer states.

        :param run: of the endpoint that answered.
        :param statement: what it said.
        :param sent_ms: when the call was sent.
        :param now_ms: the time.
        """
        if statement.limit_per_s is not None:
            self._set_limit(run, _Limit(statement.limit_per_s, now_ms))
            return
        known = self._limits.get(run)
        if known is None or statement.unreadable is not None:
            return
        if sent_ms > known.stated_ms:
            self._set_limit(run, _Limit(None, sent_ms))

    def limit_per_s(self, run: EndpointRun) -> float | None:
        """Return the limit that a run has stated, or None.

        :param run: the run of an endpoint.
        """
        known = self._limits.get(run)
        return known.per_s if known is not None else None

    def _set_limit(self, run: EndpointRun, limit: _Limit) -> None:
        before = self.limit_per_s(run)
        self._limits.pop(run, None)
        self._limits[run] = limit
        if len(self._limits) > RUNS_KEPT:
            self._limits.pop(next(iter(self._limits)))
        if limit.per_s != before:
            self._on_limit(run, limit.per_s)
