"""How an instance leaves."""

from __future__ import annotations

from typing import NamedTuple

from savorychute.clock import MS_PER_S


class LeavingPlan(NamedTuple):
    """When, after the signal to leave, what happens.

    Callers that hold this address may use it for seconds more.  Until ``refuse_ms``
    their requests are served; after that they are told to go elsewhere, because a
    long answer could not end in time.  The process ends when nothing has come for
    ``quiet_ms`` and nothing is in progress, but not before ``least_ms`` and not after
    ``end_ms``.
    """

    refuse_ms: int
    least_ms: int
    quiet_ms: int
    end_ms: int


# Shares of the time until the process is ended by force.  Nearly all answers take less
# than two thirds of it, so those that begin in the first quarter end in time.
REFUSE_SHARE = 0.3
LEAST_SHARE = 0.45
QUIET_MS = 1_000
# What is left for closing, in case the loop is late.
END_MARGIN_MS = 400


def plan_leaving(grace_s: float) -> LeavingPlan:
    """Return the plan for a time of grace.

    :param grace_s: from the signal to the end by force.
    """
    grace_ms = int(MS_PER_S * grace_s)
    return LeavingPlan(
        refuse_ms=int(REFUSE_SHARE * grace_ms),
        least_ms=int(LEAST_SHARE * grace_ms),
        quiet_ms=QUIET_MS,
        end_ms=max(0, grace_ms - END_MARGIN_MS),
    )
