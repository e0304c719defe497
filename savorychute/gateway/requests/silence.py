"""How long an endpoint may be silent before another one is tried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.request_kind import RequestKind

if TYPE_CHECKING:
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.requests.attempt import Attempt

# A second attempt has to begin early enough to meet the objective itself.
WHOLE_SHARE = 0.6
FIRST_EVENT_SHARE = 0.45
SHORTEST_MS = 150
# Pauses beyond the objective are late already; the rest allows for a preemption, after
# which the engine goes on by itself.
GAP_FACTOR = 2.5
SHORTEST_GAP_MS = 600


def silence_ends_ms(attempt: Attempt, route: Route) -> int:
    """Return when an endpoint will have been silent for too long.

    An engine is heard also when it answers another request of this instance, or a
    probe: a request that waits in the queue of a living engine is served later; sent
    elsewhere it would wait again, and its prompt be read twice.

    :param attempt: under way.
    :param route: of the request.
    """
    heard_ms = max(attempt.began_ms, attempt.heard_ms)
    if route.kind is RequestKind.STREAM:
        heard_ms = max(heard_ms, attempt.choice.record.last_contact_ms)
    return heard_ms + _patience_ms(attempt, route)


def _patience_ms(attempt: Attempt, route: Route) -> int:
    if not attempt.waiting:
        return max(SHORTEST_GAP_MS, int(GAP_FACTOR * route.gap_target_ms))
    share = FIRST_EVENT_SHARE if route.kind is RequestKind.STREAM else WHOLE_SHARE
    return max(SHORTEST_MS, int(share * route.target_ms))
