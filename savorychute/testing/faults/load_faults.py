"""Bursts, and requests that crash what runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, Stage, find_class
from savorychute.testing.workload import make_chat_call

if TYPE_CHECKING:
    from savorychute.testing.call import Call
    from savorychute.testing.faults.fault_step import FaultStep

POISON_AGAIN_MS = 500.0
POISON_CHECK_MS = 20.0


@FAULTS.register('burst')
def burst(stage: Stage, step: FaultStep) -> None:
    """Add *count* calls of a class within *for_ms*, or all at once."""
    world = stage.world
    wanted = find_class(world.topology, step.class_name)
    for number in range(step.count):
        delay_ms = step.for_ms * number / step.count
        stage.workload.call_at(world.heap.now_ms + delay_ms, wanted, step.target)


@FAULTS.register('poison')
def poison(stage: Stage, step: FaultStep) -> None:
    """Make a call that crashes its engines, again *count* times when it fails."""
    world = stage.world
    wanted = find_class(world.topology, step.class_name)
    call = stage.workload.make_call(wanted, step.target, poison=True)
    world.poisons += 1
    _send_poison(stage, call, 1, step)


def _send_poison(stage: Stage, call: Call, number: int, step: FaultStep) -> None:
    stage.world.poison_calls.add(call.call_id)
    stage.world.callers.begin(call)
    if number < step.count:
        _send_again_when_over(stage, call, number, step)


def _send_again_when_over(
    stage: Stage, call: Call, number: int, step: FaultStep
) -> None:
    """Send the same body as a new request, as a caller that got no answer."""
    heap = stage.world.heap
    if not call.is_over:
        heap.call_later(
            POISON_CHECK_MS, _send_again_when_over, stage, call, number, step
        )
        return
    again = make_chat_call(
        f'{call.call_id}.{number}',
        call.organisation,
        call.call_class,
        call.prompt,
        stage.world.max_tokens,
    )
    delay_ms = step.delay_ms or POISON_AGAIN_MS
    heap.call_later(delay_ms, _send_poison, stage, again, number + 1, step)


@FAULTS.register('surge')
def surge(stage: Stage, step: FaultStep) -> None:
    """Let a class come at *factor* times its usual rate for *for_ms*."""
    world = stage.world
    wanted = find_class(world.topology, step.class_name)
    rate = world.class_rates.get(wanted.name, 0.0) * (step.factor - 1.0)
    begin_ms = world.heap.now_ms
    stage.workload.run_class(wanted, begin_ms, begin_ms + step.for_ms, lambda _: rate)
