"""Call limits stated by endpoints, by run."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.endpoints.endpoint_run import EndpointRun
from savorychute.membership.told_limit import NO_LIMIT, ToldLimit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Maximum number of runs whose limits are remembered, the newest.
MAX_RUNS = 4_096
# Maximum age of a stated limit that is announced to other instances, and how many are,
# the newest.  An endpoint that still has a limit states it again with each response.
ANNOUNCEMENT_MS = 10_000
MAX_ANNOUNCED = 6
# Ages are underestimated in transit.  The end of a limit counts as older by this time,
# so that it does not undo a later statement.
AGE_ERROR_MS = 500


class StatedLimit(NamedTuple):
    """A limit, or None for its end, and the time when an endpoint stated it."""

    per_s: float | None
    stated_ms: int


class LimitTable:
    """Holds the newest limit of each run of an endpoint.

    Responses may arrive out of order: one without a limit ends a limit only if its call
    was sent after the last response that stated one.

    :param on_limit: called with each run whose limit changes, and its new limit.
    """

    def __init__(self, on_limit: Callable[[EndpointRun, float | None], None]) -> None:
        self._on_limit = on_limit
        self._limits: dict[EndpointRun, StatedLimit] = {}

    def record_limit(self, run: EndpointRun, limit_per_s: float, now_ms: int) -> None:
        """Record a limit that an endpoint stated to this instance.

        :param run: the run of the endpoint.
        :param limit_per_s: the calls per second that it accepts.
        :param now_ms: the current time.
        """
        self._set_limit(run, StatedLimit(limit_per_s, now_ms))

    def record_no_limit(self, run: EndpointRun, stated_ms: int) -> None:
        """Record a response without a limit.

        :param run: the run of the endpoint.
        :param stated_ms: when the call was sent.
        """
        known = self.limit(run)
        if known is not None and stated_ms > known.stated_ms:
            self._set_limit(run, StatedLimit(None, stated_ms))

    def limit(self, run: EndpointRun) -> StatedLimit | None:
        """Return the current limit of a run, or None.

        :param run: the run of an endpoint.
        """
        known = self._limits.get(run)
        return known if known is not None and known.per_s is not None else None

    def limit_per_s(self, run: EndpointRun) -> float | None:
        """Return how many calls per second a run accepts, or None for no limit.

        :param run: the run of an endpoint.
        """
        known = self._limits.get(run)
        return known.per_s if known is not None else None

    def announcements(self, now_ms: int) -> tuple[ToldLimit, ...]:
        """Return the limits to announce to other instances; usually none.

        :param now_ms: the current time.
        """
        newest = islice(reversed(self._limits.items()), MAX_ANNOUNCED)
        return tuple(
            ToldLimit(
                run.endpoint,
                run.born_ms,
                NO_LIMIT if limit.per_s is None else limit.per_s,
                now_ms - limit.stated_ms,
            )
            for run, limit in newest
            if now_ms - limit.stated_ms <= ANNOUNCEMENT_MS
        )

    def record_reported(self, announcements: Iterable[ToldLimit], now_ms: int) -> None:
        """Record the limits that another instance announced.

        :param announcements: limits and ends of limits.
        :param now_ms: the current time.
        """
        for endpoint, born_ms, limit_per_s, age_ms in announcements:
            run = EndpointRun(endpoint, born_ms)
            if limit_per_s < 0:
                self.record_no_limit(run, now_ms - age_ms - AGE_ERROR_MS)
            else:
                self.record_reported_limit(run, limit_per_s, age_ms, now_ms)

    def record_reported_limit(
        self, run: EndpointRun, limit_per_s: float, age_ms: int, now_ms: int
    ) -> None:
        """Record a limit that another instance reported.

        :param run: the run of the endpoint.
        :param limit_per_s: its limit.
        :param age_ms: time since the endpoint stated it.
        :param now_ms: the current time.
        """
        known = self._limits.get(run)
        stated_ms = now_ms - age_ms
        if known is None or stated_ms > known.stated_ms:
            self._set_limit(run, StatedLimit(limit_per_s, stated_ms))

    def _set_limit(self, run: EndpointRun, limit: StatedLimit) -> None:
        previous_per_s = self.limit_per_s(run)
        self._limits.pop(run, None)
        self._limits[run] = limit
        if len(self._limits) > MAX_RUNS:
            self._limits.pop(next(iter(self._limits)))
        if limit.per_s != previous_per_s:
            self._on_limit(run, limit.per_s)
