"""Plans the graceful shutdown of an instance."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.clock import MS_PER_S


class ShutdownPlan(NamedTuple):
    """Times of the steps of a shutdown, counted from the signal.

    Callers that have cached this address may use it for some seconds more.  Until
    ``refuse_after_ms`` their requests are served; later ones are refused with a hint to
    use another instance, because a long response could not end in time.  The process
    ends when no request has arrived for ``idle_ms`` and none is in progress, but not
    before ``min_ms`` and not after ``max_ms``.  It also waits for callers that still read
    responses; one that has read nothing for ``stalled_ms`` is not waited for.
    """

    refuse_after_ms: int
    min_ms: int
    idle_ms: int
    max_ms: int
    stalled_ms: int


# Shares of the grace time, after which the process is killed.  Nearly all responses
# take less than two thirds of it, so those that start in the first quarter end in time.
REFUSE_AFTER_SHARE = 0.3
MIN_SHARE = 0.45
IDLE_MS = 1_000
# The system passes on what a slow caller has read in pieces of some ten KB.
STALLED_SHARE = 0.4
# Time that is left for closing, in case the event loop is late.
CLOSE_MARGIN_MS = 400


def plan_shutdown(grace_s: float) -> ShutdownPlan:
    """Return the plan for a grace time.

    :param grace_s: time from the signal until the process is killed.
    """
    grace_ms = int(MS_PER_S * grace_s)
    return ShutdownPlan(
        refuse_after_ms=int(REFUSE_AFTER_SHARE * grace_ms),
        min_ms=int(MIN_SHARE * grace_ms),
        idle_ms=IDLE_MS,
        max_ms=max(0, grace_ms - CLOSE_MARGIN_MS),
        stalled_ms=int(STALLED_SHARE * grace_ms),
    )
