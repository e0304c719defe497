"""Load bursts, and requests that crash the endpoints that run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.faults.registry import FAULTS, FaultContext, find_class
from savorychute.testing.workload import make_chat_call

if TYPE_CHECKING:
    from savorychute.testing.call import Call
    from savorychute.testing.faults.fault_step import FaultStep

POISON_RETRY_MS = 500.0
POISON_CHECK_MS = 20.0


@FAULTS.register('burst')
def burst(context: FaultContext, step: FaultStep) -> None:
    """Add *count* calls of a class, spread over *for_ms* or all at once."""
    simulation = context.simulation
    call_class = find_class(simulation.topology, step.class_name)
    for number in range(step.count):
        delay_ms = step.for_ms * number / step.count
        context.workload.call_at(
            simulation.heap.now_ms + delay_ms, call_class, step.target
        )


@FAULTS.register('poison')
def poison(context: FaultContext, step: FaultStep) -> None:
    """Make a call that crashes its engines, and send it *count* times in total."""
    simulation = context.simulation
    call_class = find_class(simulation.topology, step.class_name)
    call = context.workload.make_call(call_class, step.target, poison=True)
    simulation.poison_count += 1
    _send_poison(context, call, 1, step)


def _send_poison(
    context: FaultContext, call: Call, number: int, step: FaultStep
) -> None:
    context.simulation.poison_calls.add(call.call_id)
    context.simulation.callers.start(call)
    if number < step.count:
        _resend_when_finished(context, call, number, step)


def _resend_when_finished(
    context: FaultContext, call: Call, number: int, step: FaultStep
) -> None:
    """Send the same body as a new request, like a caller that received no answer."""
    heap = context.simulation.heap
    if not call.is_finished:
        heap.call_later(
            POISON_CHECK_MS, _resend_when_finished, context, call, number, step
        )
        return
    repeated_call = make_chat_call(
        f'{call.call_id}.{number}',
        call.organisation,
        call.call_class,
        call.prompt,
        context.simulation.max_tokens,
    )
    delay_ms = step.delay_ms or POISON_RETRY_MS
    heap.call_later(delay_ms, _send_poison, context, repeated_call, number + 1, step)


@FAULTS.register('surge')
def surge(context: FaultContext, step: FaultStep) -> None:
    """Multiply the request rate of a class by *factor* for *for_ms*."""
    simulation = context.simulation
    call_class = find_class(simulation.topology, step.class_name)
    rate = simulation.class_rates.get(call_class.name, 0.0) * (step.factor - 1.0)
    start_ms = simulation.heap.now_ms
    context.workload.run_class(
        call_class, start_ms, start_ms + step.for_ms, lambda _: rate
    )
