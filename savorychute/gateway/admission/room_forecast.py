"""When refused callers should come back."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.engine_state import usable_load
from savorychute.gateway.dispatch.rank_limits import LIMITS, MIN_SLOTS

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.finish_forecast import FinishForecast
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements
    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord

# The largest share of their remaining time for which callers wait.
MAX_WAITED_SHARE = 1 / 3
# Callers that are refused together return over this share of that time.
SPREAD_SHARE = 0.3


class Room(NamedTuple):
    """When an engine is expected to have room, and how urgent that is.

    ``left_ms`` is the time that the caller has left, and ``refused_share`` the share of
    such requests that was refused recently.
    """

    wait_ms: float
    left_ms: int
    refused_share: float


def expect_room_ms(
    finish: FinishForecast,
    records: Sequence[EndpointRecord],
    requirements: RequestRequirements,
    now_ms: int,
) -> float | None:
    """Return the time until an engine has room for a request; None if it is not known.

    An engine has room when so much of its queue is done that half of such requests are
    admitted.

    :param finish: predicts answers.
    :param records: the engines that could take the request.
    :param requirements: requirements of the request.
    :param now_ms: the current time.
    """
    waits_ms = [
        _drain_ms(finish, record, requirements, now_ms)
        for record in records
        if usable_load(record, now_ms) is not None
    ]
    return min(waits_ms, default=None)


def _drain_ms(
    finish: FinishForecast,
    record: EndpointRecord,
    requirements: RequestRequirements,
    now_ms: int,
) -> float:
    load = usable_load(record, now_ms)
    assert load is not None
    rank = min(requirements.rank, len(LIMITS) - 1)
    limits = LIMITS[rank]
    estimate = finish.estimate(record, requirements, 0, now_ms)
    wait_ms = estimate.first_event_ms
    queued = load.waiting_ahead(rank) + load.prefilling
    excess_prompts = max(0.0, queued - fmean(limits.waiting))
    max_wait_ms = fmean(limits.wait_share) * requirements.target_ms
    slots = max(record.entry.slots, MIN_SLOTS)
    excess_streams = load.requests_ahead(rank) - slots * fmean(limits.places_share)
    answer_ms = estimate.end_ms - estimate.first_event_ms
    return max(
        wait_ms * excess_prompts / max(1, queued),
        wait_ms - max_wait_ms if requirements.target_ms else 0.0,
        max(0.0, excess_streams) * answer_ms / slots,
    )


def draw_retry_ms(room: Room, rng: random.Random) -> int:
    """Return when a refused caller should come back, in ms.

    Callers come back from when room is expected, spread over a part of the time for which
    they wait.  The larger the share that is refused, the later there is room for one more
    caller: those that come back early are refused again and use up their tries.  With a
    spread over all of the time, answers were late although there was room before.

    :param room: when room is expected.
    :param rng: draws the time.
    """
    latest_ms = MAX_WAITED_SHARE * room.left_ms
    spread_ms = SPREAD_SHARE * latest_ms
    first_ms = max(room.wait_ms, room.refused_share * latest_ms)
    first_ms = min(first_ms, latest_ms - spread_ms)
    return max(1, int(rng.uniform(first_ms, first_ms + spread_ms)))
