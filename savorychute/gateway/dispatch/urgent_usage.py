"""Share of a service's slots that requests of higher tiers use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.dispatch.engine_state import usable_load
from savorychute.gateway.dispatch.rank_limits import MIN_SLOTS
from savorychute.gateway.requests.rank import ORGANISATION_LEVELS, tier_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.engine_load import EngineLoad


def urgent_usage(records: Sequence[EndpointRecord], rank: int, now_ms: int) -> float:
    """Return the share of slots used by tiers above a rank's, or needed by them.

    Only engines with a recent report that tells the ranks of their streams count; the
    result is 0 without any.

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
    return used / slots if slots else 0.0


def _tells_ranks(load: EngineLoad) -> bool:
    return bool(load.streams) or not load.generating
