"""Monitors that higher tiers are not shed or preempted for lower ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import StartAttempt
    from savorychute.testing.call import Call

SHED_CODES = frozenset((ResultCode.OVERLOADED, ResultCode.QUEUE_FULL))


class TierMonitor:
    """Tracks the waiting and running requests of each instance from outside.

    Shedding or preempting a request is a violation if at this time the same
    instance holds work of a lower tier in the same pool that could free capacity
    for it.  For a slot at an endpoint, this is a stream whose answer has started,
    since only such a stream can be paused without generating a token twice.  For
    a full queue, it is also waiting work of a lower tier.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._waiting: dict[str, dict[str, Call]] = {}
        self._running: dict[str, dict[str, Call]] = {}
        self._pausable: dict[str, dict[str, Call]] = {}

    def arrived(self, instance: str, request_id: str, call: Call) -> None:
        """Record that a request reached an instance."""
        self._waiting.setdefault(instance, {})[request_id] = call

    def started(self, instance: str, start: StartAttempt, call: Call) -> None:
        """Record that an attempt started."""
        self._waiting.get(instance, {}).pop(start.request_id, None)
        self._running.setdefault(instance, {})[start.request_id] = call

    def answer_started(self, instance: str, request_id: str) -> None:
        """Record that an answer started."""
        call = self._running.get(instance, {}).get(request_id)
        if call is not None and call.call_class.idempotent and call.call_class.stream:
            self._pausable.setdefault(instance, {})[request_id] = call

    def paused(self, at_ms: float, instance: str, request_id: str) -> None:
        """Record that a running stream was preempted."""
        call = self._running.get(instance, {}).pop(request_id, None)
        pausable = self._pausable.get(instance, {})
        pausable.pop(request_id, None)
        if call is None:
            return
        lower = _find_lower(call, pausable)
        if lower is not None:
            self.violations.append(
                f'{at_ms:.0f} ms: {instance} preempted {call.call_class.name}'
                f' while {lower.call_class.name} ran'
            )
        self._waiting.setdefault(instance, {})[request_id] = call

    def ended(
        self, at_ms: float, instance: str, request_id: str, code: ResultCode
    ) -> None:
        """Record that a request ended at an instance."""
        waiting = self._waiting.get(instance, {})
        call = waiting.pop(request_id, None)
        pausable = self._pausable.get(instance, {})
        pausable.pop(request_id, None)
        self._running.get(instance, {}).pop(request_id, None)
        if call is None or code not in SHED_CODES:
            return
        lower = _find_lower(call, pausable)
        if lower is None and code is ResultCode.QUEUE_FULL:
            lower = _find_lower(call, waiting)
        if lower is not None:
            self.violations.append(
                f'{at_ms:.0f} ms: {instance} shed {call.call_class.name}'
                f' ({code.name}) while it held {lower.call_class.name}'
            )

    def remove_instance(self, instance: str) -> None:
        """Remove a stopped instance."""
        self._waiting.pop(instance, None)
        self._running.pop(instance, None)
        self._pausable.pop(instance, None)


def _find_lower(call: Call, others: dict[str, Call]) -> Call | None:
    """Return a request of a lower tier in the same pool, if any."""
    for other in others.values():
        other_class = other.call_class
        same_pool = other_class.service == call.call_class.service
        if same_pool and other_class.tier > call.call_class.tier:
            return other
    return None
