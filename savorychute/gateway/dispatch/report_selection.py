"""Selection of the engines whose load is queried before a choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import (
    RECENT_REPORT_MS,
    failure_cost_ms,
    has_recent_report,
    sensitive_stream_headroom,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.dispatch.wait_forecast import WaitForecast
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# If the wait at home is longer, other engines are queried as well: the next in the
# ranking, and two random ones.  The better of two random engines is nearly as good as
# the best of all; with 45 engines, querying all took ten reports per prompt.
BUSY_WAIT_MS = 300.0
NEXT_QUERIED = 1
RANDOM_QUERIED = 2
# Latency-sensitive streams are short and numerous; a report of this age still shows how
# congested their partition is.
SENSITIVE_REPORT_MS = 500
SENSITIVE_QUERIED = 2
# When their partition is full they use the last free slots of other engines, so more
# engines are queried and more often.
CONGESTED_REPORT_MS = 150
CONGESTED_QUERIED = 3
# Engines of any partition that are queried before a request above the last tier is
# refused.
ANY_ENGINE_QUERIED = 4


class ReportSelection:
    """Selects the engines whose last report is too old for a choice.

    :param rng: draws engines.
    :param forecast: predicts the wait at a home.
    """

    def __init__(self, rng: random.Random, forecast: WaitForecast) -> None:
        self._rng = rng
        self._forecast = forecast

    def for_sensitive_stream(
        self,
        records: Sequence[EndpointRecord],
        partition: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> list[EndpointRecord]:
        """Return two engines of the dedicated partition, or some of all if it is full.

        :param records: all engines.
        :param partition: engines dedicated to latency-sensitive streams.
        :param requirements: requirements of the stream.
        :param now_ms: the current time.
        """
        outdated = self._sample_outdated(
            partition, SENSITIVE_QUERIED, now_ms, SENSITIVE_REPORT_MS
        )
        if outdated or any(
            sensitive_stream_headroom(each, requirements.rank, now_ms)
            for each in partition
        ):
            return outdated
        return self._sample_outdated(
            records, CONGESTED_QUERIED, now_ms, CONGESTED_REPORT_MS
        )

    def for_home(
        self,
        ranked: Sequence[EndpointRecord],
        requirements: RequestRequirements,
        now_ms: int,
    ) -> list[EndpointRecord]:
        """Return a prompt's home, or some other engines if it is known to be busy.

        :param ranked: the engines of the partition, the home first.
        :param requirements: requirements of the request.
        :param now_ms: the current time.
        """
        home = ranked[0]
        if not has_recent_report(home, now_ms, RECENT_REPORT_MS):
            return [home]
        home_wait_ms = self._forecast.wait_ms(home, requirements.rank, now_ms)
        if home_wait_ms + failure_cost_ms(home, now_ms) <= BUSY_WAIT_MS:
            return []
        next_engines = ranked[1 : 1 + NEXT_QUERIED]
        remaining = ranked[1 + NEXT_QUERIED :]
        others = self._rng.sample(remaining, min(RANDOM_QUERIED, len(remaining)))
        return _without_recent_report(
            [*next_engines, *others], now_ms, RECENT_REPORT_MS
        )

    def for_any_engine(
        self, records: Sequence[EndpointRecord], now_ms: int
    ) -> list[EndpointRecord]:
        """Return some of all engines, for a request that does not fit its partition.

        :param records: all engines.
        :param now_ms: the current time.
        """
        return self._sample_outdated(
            records, ANY_ENGINE_QUERIED, now_ms, RECENT_REPORT_MS
        )

    def _sample_outdated(
        self,
        records: Sequence[EndpointRecord],
        max_engines: int,
        now_ms: int,
        max_age_ms: int,
    ) -> list[EndpointRecord]:
        sample = self._rng.sample(records, min(max_engines, len(records)))
        return _without_recent_report(sample, now_ms, max_age_ms)


def _without_recent_report(
    records: Sequence[EndpointRecord], now_ms: int, max_age_ms: int
) -> list[EndpointRecord]:
    return [each for each in records if not has_recent_report(each, now_ms, max_age_ms)]
