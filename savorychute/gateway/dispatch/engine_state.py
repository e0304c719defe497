"""What a choice takes an engine for, by its last report and what it did lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.engine_load import EngineLoad

# Without a report: this instance sees only its own requests; others send about as many.
OTHERS_FACTOR = 2.0
# What failing every request costs an engine in a comparison, as a wait.
FAILURE_MS = 2_000.0
# A lane is left when its best engine fails more than this part of its requests.
FAILING_SHARE = 0.25
# Requests move a queue by their own size; reports older than this say little of it.
REPORT_MS = 300
USABLE_REPORT_MS = 1_500
# With more of its places taken an engine of the steady lane is no longer steady: at 64
# streams, events came every 350 ms instead of 250, and whoever is more urgent puts back
# others.
CROWDED_SHARE = 0.5
# A dozen streams beside each other slow no engine; one with few places is crowded when
# the streams that all instances send before the next report would take the last ones.
LEAST_CROWDED = 12
MOST_CROWDED_SHARE = 2 / 3


def is_recent(record: EndpointRecord, now_ms: int, bound_ms: int) -> bool:
    """Return whether an engine was heard of within some time.

    :param record: the engine.
    :param now_ms: the time.
    :param bound_ms: that time.
    """
    age_ms = record.load_age_ms(now_ms)
    return age_ms is not None and age_ms <= bound_ms


def is_usable(record: EndpointRecord, now_ms: int) -> bool:
    """Return whether a report still says something of an engine's load."""
    return is_recent(record, now_ms, USABLE_REPORT_MS)


def usable_load(record: EndpointRecord, now_ms: int) -> EngineLoad | None:
    """Return an engine's load, or None if the last report says nothing of it any more."""
    return record.load if is_usable(record, now_ms) else None


def is_crowded(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine is known to have too many streams.

    All that run slow each other; of those that wait only such count as a request of the
    rank cannot pass.  Where the others counted too, the most urgent streams took engines
    with a queue of summaries for full, and crowded the last one that had none.
    """
    load = usable_load(record, now_ms)
    if load is None:
        return False
    return _streams(load, rank) >= crowded_at(record.entry.slots)


def _streams(load: EngineLoad, rank: int) -> int:
    return load.generating + load.reading + load.waiting_ahead(rank)


def crowded_at(slots: int) -> float:
    """Return from how many requests on an engine gets no further steady stream.

    That is before all of its capacity is used: other instances send some as well before
    the next report tells of them.

    :param slots: how many it runs at all.
    """
    return max(1.0, min(steady_capacity(slots), MOST_CROWDED_SHARE * slots))


def steady_capacity(slots: int) -> float:
    """Return how many steady streams an engine runs well beside each other.

    :param slots: how many it runs at all.
    """
    return max(1.0, min(max(CROWDED_SHARE * slots, LEAST_CROWDED), slots - 1))


def failure_ms(record: EndpointRecord, now_ms: int) -> float:
    """Return the failures of an engine as a cost.

    They are no wait: where failures counted as one, the most urgent streams, which may
    wait least, were refused while the least urgent were served.
    """
    return FAILURE_MS * record.health.failure_share(now_ms)


def serves_well(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine should get another steady stream of a rank."""
    return not _is_failing(record, now_ms) and not is_crowded(record, rank, now_ms)


def _is_failing(record: EndpointRecord, now_ms: int) -> bool:
    return record.health.failure_share(now_ms) > FAILING_SHARE


def is_idle(record: EndpointRecord, now_ms: int) -> bool:
    """Return whether an engine is known to begin a prompt at once."""
    load = record.load
    if load is None or not is_recent(record, now_ms, REPORT_MS):
        return False
    free = load.generating < record.entry.slots and not load.waiting + load.reading
    return free and not record.unread_tokens()


def steady_room(record: EndpointRecord, rank: int, now_ms: int) -> float:
    """Return for how many more steady streams of a rank an engine has room.

    :param record: the engine.
    :param rank: of the streams.
    :param now_ms: the time.
    """
    if not serves_well(record, rank, now_ms):
        return 0.0
    load = usable_load(record, now_ms)
    taken = OTHERS_FACTOR * record.outstanding
    if load is not None:
        taken = _streams(load, rank) + record.unreported(rank)
    return max(0.0, crowded_at(record.entry.slots) - taken)


def places_left(
    record: EndpointRecord, rank: int, now_ms: int, instances: int = 1
) -> float:
    """Return how many places an engine has for a rank, crowded or not.

    Streams that are less urgent make room, so theirs count as free.  Since the last report
    all instances have sent as many requests as this one, in the mean; it matters for the
    last places, which all of them see.

    :param record: the engine.
    :param rank: of a request.
    :param now_ms: the time.
    :param instances: how many instances there are.
    """
    if _is_failing(record, now_ms):
        return 0.0
    load = usable_load(record, now_ms)
    taken = OTHERS_FACTOR * record.outstanding
    if load is not None:
        taken = load.taken_ahead(rank) + instances * record.unreported(rank)
    return max(0.0, record.entry.slots - taken)


def is_full_for(record: EndpointRecord, rank: int, now_ms: int) -> bool:
    """Return whether an engine is known to have no place for a rank, or a queue of it.

    :param record: the engine.
    :param rank: of a request.
    :param now_ms: the time.
    """
    load = usable_load(record, now_ms)
    if load is None:
        return False
    return load.waiting_ahead(rank) > 0 or load.taken_ahead(rank) >= record.entry.slots
