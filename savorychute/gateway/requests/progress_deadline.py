"""How long an endpoint may send nothing before another endpoint is tried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.gateway.configuration.request_kind import RequestKind

if TYPE_CHECKING:
    from savorychute.gateway.configuration.route import Route
    from savorychute.gateway.requests.attempt import Attempt

# Shares of the objective; a second attempt must start early enough to still meet it.
RESPONSE_TARGET_SHARE = 0.6
FIRST_EVENT_TARGET_SHARE = 0.45
MIN_TIMEOUT_MS = 150
# Gaps longer than the objective are late already; the remainder allows for a
# preemption, after which the engine continues the stream.
GAP_TARGET_FACTOR = 2.5
MIN_GAP_TIMEOUT_MS = 600
# Nothing is expected on a connection that hangs, but its path may only be slow.
LOST_PATH_TIMEOUT_MS = 300
# Time between two checks whether a stream that has not begun can still end in time.
LATE_CHECK_INTERVAL_MS = 250


def progress_deadline_ms(attempt: Attempt, route: Route) -> int:
    """Return the time at which an endpoint that sent nothing counts as unresponsive.

    A response of an engine to another request of this instance, or to a probe, counts as
    progress.  A request that waits in the queue of a responsive engine is served later;
    sent to another engine it would wait again, and its prompt would be prefilled twice.
    Responses that take another path say nothing about an attempt whose path was lost.

    :param attempt: the attempt in progress.
    :param route: the route of the request.
    """
    last_received_ms = max(attempt.started_ms, attempt.last_received_ms)
    if route.kind is RequestKind.STREAM and not attempt.path_lost:
        last_received_ms = max(last_received_ms, attempt.choice.record.last_contact_ms)
    timeout_ms = _progress_timeout_ms(attempt, route)
    if attempt.path_lost:
        timeout_ms = min(timeout_ms, LOST_PATH_TIMEOUT_MS)
    return last_received_ms + timeout_ms


def _progress_timeout_ms(attempt: Attempt, route: Route) -> int:
    if not attempt.waiting:
        return max(MIN_GAP_TIMEOUT_MS, int(GAP_TARGET_FACTOR * route.gap_target_ms))
    share = (
        FIRST_EVENT_TARGET_SHARE
        if route.kind is RequestKind.STREAM
        else RESPONSE_TARGET_SHARE
    )
    return max(MIN_TIMEOUT_MS, int(share * route.target_ms))


def late_check_ms(attempt: Attempt, route: Route, checked_ms: int) -> int | None:
    """Return when to check whether another engine should answer; None for never.

    A stream that begins late may still be generating at its deadline, although its engine
    responds to probes all the time.

    :param attempt: the attempt in progress.
    :param route: the route of the request.
    :param checked_ms: the time of the last check, 0 for none.
    """
    if route.kind is not RequestKind.STREAM or not attempt.waiting:
        return None
    return max(
        attempt.started_ms + route.target_ms, checked_ms + LATE_CHECK_INTERVAL_MS
    )
