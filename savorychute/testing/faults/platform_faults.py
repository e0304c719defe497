"""Faults of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, Stage

if TYPE_CHECKING:
    from savorychute.testing.faults.fault_step import FaultStep


@FAULTS.register('log-down')
def log_down(stage: Stage, step: FaultStep) -> None:
    """Let the log refuse everything."""
    log = stage.world.log
    log.is_up = False

    def end() -> None:
        log.is_up = True
        stage.world.note_reachable()

    stage.world.note_unreachable()
    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, end)


@FAULTS.register('log-slow')
def log_slow(stage: Stage, step: FaultStep) -> None:
    """Let every answer of the log take *delay_ms* longer."""
    log = stage.world.log
    log.slow_ms = step.delay_ms

    def end() -> None:
        log.slow_ms = 0.0
        stage.world.note_reachable()

    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, end)


@FAULTS.register('append-reply-lost')
def lose_reply(stage: Stage, step: FaultStep) -> None:
    """Lose the replies of the next *count* appends; all of them take effect."""
    stage.world.log.lose_replies += step.count


@FAULTS.register('list-down')
def list_down(stage: Stage, step: FaultStep) -> None:
    """Let the list of instances not answer."""
    listing = stage.world.listing
    listing.is_up = False

    def end() -> None:
        listing.is_up = True

    if step.for_ms:
        stage.world.heap.call_later(step.for_ms, end)
