"""Faults of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, FaultContext

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep


@FAULTS.register('log-down')
def log_down(context: FaultContext, step: FaultStep) -> None:
    """Let the log refuse all calls."""
    log = context.simulation.log
    log.is_up = False

    def end() -> None:
        log.is_up = True
        context.simulation.mark_reachable()

    context.simulation.mark_unreachable()
    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, end)


@FAULTS.register('log-slow')
def log_slow(context: FaultContext, step: FaultStep) -> None:
    """Delay every response of the log by *delay_ms*."""
    log = context.simulation.log
    log.slow_ms = step.delay_ms

    def end() -> None:
        log.slow_ms = 0.0
        context.simulation.mark_reachable()

    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, end)


@FAULTS.register('append-reply-lost')
def lose_reply(context: FaultContext, step: FaultStep) -> None:
    """Lose the replies to the next *count* appends, which take effect."""
    context.simulation.log.replies_to_lose += step.count


@FAULTS.register('list-down')
def list_down(context: FaultContext, step: FaultStep) -> None:
    """Make the list of instances unavailable."""
    listing = context.simulation.listing
    listing.is_up = False

    def end() -> None:
        listing.is_up = True

    if step.for_ms:
        context.simulation.heap.call_later(step.for_ms, end)
