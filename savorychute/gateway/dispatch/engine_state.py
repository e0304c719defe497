"""State of an engine for a choice: its last report, and requests sent since."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.engine_load import EngineLoad

# Without a report an instance knows only its own requests; other instances are assumed
# to send about as many.
OTHER_INSTANCES_FACTOR = 2.0
# Cost of an engine that fails all requests, expressed as a wait.
FAILURE_COST_MS = 2_000.0
# A partition is left if its best engine has a higher failure share.
MAX_FAILURE_SHARE = 0.25
# Each request changes a queue by its own size; older reports say little about the
# queue.
RECENT_REPORT_MS = 300
USABLE_REPORT_MS = 1_500
# Share of slots in use above which an engine delays latency-sensitive streams: with 64
# streams, events came every 350 ms instead of 250, and more urgent requests preempted
# others.
CONGESTED_SHARE = 0.5
# 12 concurrent streams slow no engine.  An engine with few slots is congested when the
# streams that all instances send before the next report would use the last ones.
MIN_CONGESTED_STREAMS = 12
MAX_CONGESTED_SHARE = 2 / 3
# Share of slots in use from which an engine may be full before its next report, while
# more urgent streams increase.
NEARLY_FULL_SHARE = 0.7


def has_recent_report(record: EndpointRecord, now_ms: int, max_age_ms: int) -> bool:
    """Return whether an engine reported its load within some time.

    :param record: the engine.
    :param now_ms: the current time.
    :param max_age_ms: maximum age of the report.
    """
    age_ms = record.load_age_ms(now_ms)
    return age_ms is not None and age_ms <= max_age_ms


def has_usable_report(record: EndpointRecord, now_ms: int) -> bool:
    """Return whether the last report is still informative about an engine's load."""
    return has_recent_report(record, now_ms, USABLE_REPORT_MS)


def usable_load(record: EndpointRecord, now_ms: int) -> EngineLoad | None:
    """Return an engine's load, or None if the last report is obsolete."""
    return record.load if has_usable_report(record, now_ms) else None


def is_congested(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine is known to have too many streams.

    All running streams slow each other down, but of the waiting requests only those
    count that a request of this rank cannot pass.  When all of them counted, the most
    urgent streams considered engines with a queue of summaries congested and
    overloaded the last one without a queue.
    """
    load = usable_load(record, now_ms)
    if load is None:
        return False
    return _competing_streams(load, rank) >= congestion_threshold(record.entry.slots)


def _competing_streams(load: EngineLoad, rank: int) -> int:
    return load.generating + load.prefilling + load.waiting_ahead(rank)


def congestion_threshold(slots: int) -> float:
    """Return from how many requests on an engine gets no latency-sensitive stream.

    This is below the full capacity, because other instances also send streams before
    the next report shows them.

    :param slots: number of requests that the engine runs concurrently.
    """
    return max(1.0, min(sensitive_stream_capacity(slots), MAX_CONGESTED_SHARE * slots))


def sensitive_stream_capacity(slots: int) -> float:
    """Return how many latency-sensitive streams an engine can run without delays.

    :param slots: number of requests that the engine runs concurrently.
    """
    return max(1.0, min(max(CONGESTED_SHARE * slots, MIN_CONGESTED_STREAMS), slots - 1))


def failure_cost_ms(record: EndpointRecord, now_ms: int) -> float:
    """Return the cost of an engine's failures.

    It is not part of the predicted wait: when it was, the most urgent streams, which
    tolerate the shortest wait, were refused while the least urgent ones were served.
    """
    return FAILURE_COST_MS * record.health.failure_share(now_ms)


def suits_sensitive_stream(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine should get another latency-sensitive stream."""
    return not _fails_often(record, now_ms) and not is_congested(record, rank, now_ms)


def _fails_often(record: EndpointRecord, now_ms: int) -> bool:
    return record.health.failure_share(now_ms) > MAX_FAILURE_SHARE


def is_idle(record: EndpointRecord, now_ms: int) -> bool:
    """Return whether an engine is known to start the prefill of a prompt at once."""
    load = record.load
    if load is None or not has_recent_report(record, now_ms, RECENT_REPORT_MS):
        return False
    has_free_slot = (
        load.generating < record.entry.slots and not load.waiting + load.prefilling
    )
    return has_free_slot and not record.pending_prefill_tokens()


def sensitive_stream_headroom(
    record: EndpointRecord, rank: int, now_ms: int, instances: int = 1
) -> float:
    """Return the headroom for latency-sensitive streams of a rank, in streams.

    :param record: the engine.
    :param rank: rank of the streams.
    :param now_ms: the current time.
    :param instances: number of instances that are assumed to have sent as many requests
        as this one since the last report.
    """
    if not suits_sensitive_stream(record, rank, now_ms):
        return 0.0
    load = usable_load(record, now_ms)
    occupied = OTHER_INSTANCES_FACTOR * record.outstanding
    if load is not None:
        occupied = _competing_streams(load, rank)
        occupied += instances * record.unreported_requests(rank)
    return max(0.0, congestion_threshold(record.entry.slots) - occupied)


def free_slots(
    record: EndpointRecord, rank: int, now_ms: int, instances: int = 1
) -> float:
    """Return the number of slots that are free for a rank, even if congested.

    Slots of less urgent streams count as free because an engine preempts those streams.
    All instances are assumed to have sent as many requests as this one since the last
    report; this matters for the last free slots, which all instances see.

    :param record: the engine.
    :param rank: rank of the request.
    :param now_ms: the current time.
    :param instances: number of instances.
    """
    if _fails_often(record, now_ms):
        return 0.0
    load = usable_load(record, now_ms)
    occupied = OTHER_INSTANCES_FACTOR * record.outstanding
    if load is not None:
        occupied = load.requests_ahead(rank) + instances * record.unreported_requests(
            rank
        )
    return max(0.0, record.entry.slots - occupied)


def unused_slots(
    record: EndpointRecord, rank: int, now_ms: int, instances: int, share: float = 1.0
) -> float:
    """Return the number of slots of an engine that no request holds.

    A request that gets one of them preempts no stream.

    :param record: the engine.
    :param rank: rank of the request, which passes less urgent ones that wait.
    :param now_ms: the current time.
    :param instances: number of instances.
    :param share: share of the slots to consider.
    """
    if _fails_often(record, now_ms):
        return 0.0
    load = usable_load(record, now_ms)
    occupied = OTHER_INSTANCES_FACTOR * record.outstanding
    if load is not None:
        occupied = _competing_streams(load, rank)
        occupied += instances * record.unreported_requests()
    return max(0.0, share * record.entry.slots - occupied)


def is_nearly_full_for(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine is known to have few free slots for a rank.

    :param record: the engine.
    :param rank: rank of the request.
    :param now_ms: the current time.
    """
    load = usable_load(record, now_ms)
    if load is None:
        return False
    return load.requests_ahead(rank) > NEARLY_FULL_SHARE * record.entry.slots


def is_full_for(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine is known to have no free slot, or a queue, for a rank.

    :param record: the engine.
    :param rank: rank of the request.
    :param now_ms: the current time.
    """
    load = usable_load(record, now_ms)
    if load is None:
        return False
    return (
        load.waiting_ahead(rank) > 0 or load.requests_ahead(rank) >= record.entry.slots
    )
