"""How many calls a second endpoints take, by run."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.membership.told_limit import NO_LIMIT, ToldLimit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Runs of which something is remembered, the newest.
RUNS_KEPT = 4_096
# Other instances are told of limits that were stated within this time, the newest; an
# endpoint that still has one states it again with each answer.
TOLD_MS = 10_000
MOST_TOLD = 6
# Ages grow on their way by less than they should.  The end of a limit counts as that much
# older, so that it does not undo a statement that came after it.
AGE_ERROR_MS = 500


class StatedLimit(NamedTuple):
    """A limit, None for its end, and when an endpoint stated it."""

    per_s: float | None
    stated_ms: int


class LimitBook:
    """Keeps the newest limit of each run of an endpoint.

    Answers come out of order: one without a limit takes a limit back only if its call was
    sent after the last answer that stated one.

    :param on_limit: called with each run whose limit changes, and the new one.
    """

    def __init__(self, on_limit: Callable[[EndpointRun, float | None], None]) -> None:
        self._on_limit = on_limit
        self._limits: dict[EndpointRun, StatedLimit] = {}

    def state(self, run: EndpointRun, per_s: float, now_ms: int) -> None:
        """Take in a limit that an endpoint has stated to this instance.

        :param run: of the endpoint.
        :param per_s: calls a second that it takes.
        :param now_ms: the time.
        """
        self._set_limit(run, StatedLimit(per_s, now_ms))

    def end(self, run: EndpointRun, stated_ms: int) -> None:
        """Take in an answer without a limit.

        :param run: of the endpoint.
        :param stated_ms: when the call was sent.
        """
        known = self.limit(run)
        if known is not None and stated_ms > known.stated_ms:
            self._set_limit(run, StatedLimit(None, stated_ms))

    def limit(self, run: EndpointRun) -> StatedLimit | None:
        """Return the limit that a run has now, or None.

        :param run: the run of an endpoint.
        """
        known = self._limits.get(run)
        return known if known is not None and known.per_s is not None else None

    def limit_per_s(self, run: EndpointRun) -> float | None:
        """Return how many calls a second a run takes, or None for any number.

        :param run: the run of an endpoint.
        """
        known = self._limits.get(run)
        return known.per_s if known is not None else None

    def told(self, now_ms: int) -> tuple[ToldLimit, ...]:
        """Return what other instances are told; usually nothing.

        :param now_ms: the time.
        """
        newest = islice(reversed(self._limits.items()), MOST_TOLD)
        return tuple(
            ToldLimit(
                run.endpoint,
                run.born_ms,
                NO_LIMIT if limit.per_s is None else limit.per_s,
                now_ms - limit.stated_ms,
            )
            for run, limit in newest
            if now_ms - limit.stated_ms <= TOLD_MS
        )

    def hear(self, told: Iterable[ToldLimit], now_ms: int) -> None:
        """Take in what another instance tells.

        :param told: limits and ends of limits.
        :param now_ms: the time.
        """
        for endpoint, born_ms, limit_per_s, age_ms in told:
            run = EndpointRun(endpoint, born_ms)
            if limit_per_s < 0:
                self.end(run, now_ms - age_ms - AGE_ERROR_MS)
            else:
                self.hear_limit(run, limit_per_s, age_ms, now_ms)

    def hear_limit(
        self, run: EndpointRun, limit_per_s: float, age_ms: int, now_ms: int
    ) -> None:
        """Take in a limit that another instance knows of.

        :param run: of the endpoint.
        :param limit_per_s: what it takes.
        :param age_ms: how long ago it stated that.
        :param now_ms: the time.
        """
        known = self._limits.get(run)
        stated_ms = now_ms - age_ms
        if known is None or stated_ms > known.stated_ms:
            self._set_limit(run, StatedLimit(limit_per_s, stated_ms))

    def _set_limit(self, run: EndpointRun, limit: StatedLimit) -> None:
        before = self.limit_per_s(run)
        self._limits.pop(run, None)
        self._limits[run] = limit
        if len(self._limits) > RUNS_KEPT:
            self._limits.pop(next(iter(self._limits)))
        if limit.per_s != before:
            self._on_limit(run, limit.per_s)
