"""Which engines are asked for their load before one is chosen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import (
    REPORT_MS,
    failure_ms,
    is_recent,
    steady_room,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.need import Need
    from savorychute.gateway.dispatch.wait_forecast import WaitForecast
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# With a wait beyond this at home some other engines are asked as well: the next in the
# ranking, and two at random.  The better of two random engines is nearly as good as the
# best of all, and with 45 engines asking all took ten reports for each prompt.
BUSY_MS = 300.0
NEXT_ASKED = 1
RANDOM_ASKED = 2
# Steady streams are short and many; a report of this age still tells how crowded a lane
# is.
STEADY_REPORT_MS = 500
STEADY_ASKED = 2
# Where their lane is full they fill the last places of others, and soon, so more engines are
# asked and more often.
CROWDED_REPORT_MS = 150
CROWDED_ASKED = 3
# Engines of any lane that are asked before a request of a tier above the last is refused.
ANYWHERE_ASKED = 4


class ReportSelection:
    """Names the engines whose last report is too old for a choice.

    :param rng: draws engines.
    :param forecast: says when a home is busy.
    """

    def __init__(self, rng: random.Random, forecast: WaitForecast) -> None:
        self._rng = rng
        self._forecast = forecast

    def for_steady(
        self,
        records: Sequence[EndpointRecord],
        lane: Sequence[EndpointRecord],
        need: Need,
        now_ms: int,
    ) -> list[EndpointRecord]:
        """Return two engines of a steady stream's lane, or some of all if it is full.

        :param records: all engines.
        :param lane: those of the steady lane.
        :param need: of the stream.
        :param now_ms: the time.
        """
        unknown = self._unknown(lane, STEADY_ASKED, now_ms, STEADY_REPORT_MS)
        if unknown or any(steady_room(each, need.rank, now_ms) for each in lane):
            return unknown
        return self._unknown(records, CROWDED_ASKED, now_ms, CROWDED_REPORT_MS)

    def for_home(
        self, ranked: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> list[EndpointRecord]:
        """Return a prompt's home, or a few others if that is known to be busy.

        :param ranked: the engines of the lane, the home first.
        :param need: of the request.
        :param now_ms: the time.
        """
        home = ranked[0]
        if not is_recent(home, now_ms, REPORT_MS):
            return [home]
        home_ms = self._forecast.wait_ms(home, need.rank, now_ms)
        if home_ms + failure_ms(home, now_ms) <= BUSY_MS:
            return []
        after = ranked[1 : 1 + NEXT_ASKED]
        rest = ranked[1 + NEXT_ASKED :]
        others = self._rng.sample(rest, min(RANDOM_ASKED, len(rest)))
        return _older([*after, *others], now_ms, REPORT_MS)

    def for_last_look(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return some of all engines, for a request that its lane has no room for.

        :param records: all engines.
        :param now_ms: the time.
        """
        return self._unknown(records, ANYWHERE_ASKED, now_ms, REPORT_MS)

    def _unknown(
        self, records: Sequence[EndpointRecord], most: int, now_ms: int, bound_ms: int
    ) -> list[EndpointRecord]:
        sample = self._rng.sample(records, min(most, len(records)))
        return _older(sample, now_ms, bound_ms)


def _older(
    records: Sequence[EndpointRecord], now_ms: int, bound_ms: int
) -> list[EndpointRecord]:
    return [each for each in records if not is_recent(each, now_ms, bound_ms)]
