"""How long an endpoint may be silent before another one is tried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.request_kind import RequestKind

if TYPE_CHECKING:
    from savorychute.gateway.configuration.route import Route

# A second attempt has to begin early enough to meet the objective itself.
WHOLE_SHARE = 0.6
FIRST_EVENT_SHARE = 0.45
SHORTEST_MS = 150
# Pauses beyond the objective are late already; the rest allows for a preemption, after
# which the engine goes on by itself.
GAP_FACTOR = 2.5
SHORTEST_GAP_MS = 600


def first_sign_ms(route: Route) -> int:
    """Return how long to wait for the first part of an answer.

    :param route: of the request.
    """
    share = WHOLE_SHARE
    if route.kind is RequestKind.STREAM:
        share = FIRST_EVENT_SHARE
    return max(SHORTEST_MS, int(share * route.target_ms))


def next_sign_ms(route: Route) -> int:
    """Return how long to wait for the next event of a stream.

    :param route: of the request.
    """
    return max(SHORTEST_GAP_MS, int(GAP_FACTOR * route.gap_target_ms))
