"""Share of a service's slots that requests of higher tiers use, and its rise."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.engine_state import usable_load
from savorychute.gateway.dispatch.rank_limits import MIN_SLOTS, Ramp
from savorychute.gateway.requests.rank import ORGANISATION_LEVELS, tier_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.engine_load import EngineLoad

# Averaging time of the usual share.  It is longer than a short crowd, and it bounds how
# long the last tier is shed after a lasting rise that leaves slots free.
AVERAGING_MS = 15_000
# Share of slots that higher tiers may use beyond the usual share before the last tier is
# shed, and the further share from which all of it is.
SHED_RISE = 0.15
SHED_RAMP = 0.15
# Smaller shares leave enough free slots for any rise within a few seconds.
MIN_SHED_USAGE = 0.25


class UrgentUsage(NamedTuple):
    """Share of slots that higher tiers use, and their usual share."""

    share: float = 0.0
    usual: float = 0.0

    def shed_share(self) -> float:
        """Return the share of the last tier's requests to shed.

        Reports are old and requests that were sent start up to seconds later.  If the
        last tier were shed only once higher tiers are short of slots, its requests would
        still start during the shortage.  Compared with the usual share, a service whose
        higher tiers always use many slots does not starve the last one.
        """
        start = max(MIN_SHED_USAGE, self.usual + SHED_RISE)
        return Ramp(start, start + SHED_RAMP).refused_share(self.share)


class UsageMonitor:
    """Measures the share of one service's slots that higher tiers use."""

    def __init__(self) -> None:
        self._usual = 0.0
        self._measured_ms: int | None = None

    def measure(
        self, records: Sequence[EndpointRecord], rank: int, now_ms: int
    ) -> UrgentUsage:
        """Return the current usage.

        :param records: the engines of the service.
        :param rank: rank of a request; tiers above it count.
        :param now_ms: the current time.
        """
        share = used_share(records, rank, now_ms)
        if share is None:
            return UrgentUsage(0.0, self._usual)
        if self._measured_ms is None:
            self._usual = share
        else:
            weight = min(1.0, (now_ms - self._measured_ms) / AVERAGING_MS)
            self._usual += weight * (share - self._usual)
        self._measured_ms = now_ms
        return UrgentUsage(share, self._usual)


def used_share(
    records: Sequence[EndpointRecord], rank: int, now_ms: int
) -> float | None:
    """Return the share of slots used by tiers above a rank's, or needed by them.

    Only engines with a recent report that tells the ranks of their streams count; the
    result is None without any.

    :param records: the engines of a service.
    :param rank: rank of a request.
    :param now_ms: the current time.
    """
    least_urgent_above = tier_of(rank) * ORGANISATION_LEVELS - 1
    used = 0
    slots = 0
    for record in records:
        load = usable_load(record, now_ms)
        if load is None or not _tells_ranks(load):
            continue
        used += load.generating_ahead(least_urgent_above)
        used += load.waiting_ahead(least_urgent_above)
        slots += max(record.entry.slots, MIN_SLOTS)
    return used / slots if slots else None


def _tells_ranks(load: EngineLoad) -> bool:
    return bool(load.streams) or not load.generating
