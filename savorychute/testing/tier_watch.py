"""Watches that higher tiers are never given up for lower ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import StartAttempt
    from savorychute.testing.call import Call

SHED_CODES = frozenset((ResultCode.OVERLOADED, ResultCode.QUEUE_FULL))


class TierWatch:
    """Knows what waits and runs at each instance, from outside.

    Giving up a request is a breach if at that moment the same instance holds
    lower work of the same pool that could make room for it.  For a place at an
    endpoint that is a stream that has begun to answer, since only such a one
    can be paused without making a token twice.  For a place in a full queue it
    is also lower work that waits.
    """

    def __init__(self) -> None:
        self.breaches: list[str] = []
        self._waiting: dict[str, dict[str, Call]] = {}
        self._running: dict[str, dict[str, Call]] = {}
        self._pausable: dict[str, dict[str, Call]] = {}

    def arrived(self, instance: str, request_id: str, call: Call) -> None:
        """Note that a request reached an instance."""
        self._waiting.setdefault(instance, {})[request_id] = call

    def started(self, instance: str, start: StartAttempt, call: Call) -> None:
        """Note that an attempt began."""
        self._waiting.get(instance, {}).pop(start.request_id, None)
        self._running.setdefault(instance, {})[start.request_id] = call

    def answering(self, instance: str, request_id: str) -> None:
        """Note that an answer has begun."""
        call = self._running.get(instance, {}).get(request_id)
        if call is not None and call.call_class.idempotent and call.call_class.stream:
            self._pausable.setdefault(instance, {})[request_id] = call

    def paused(self, at_ms: float, instance: str, request_id: str) -> None:
        """Note that a running stream was preempted."""
        call = self._running.get(instance, {}).pop(request_id, None)
        pausable = self._pausable.get(instance, {})
        pausable.pop(request_id, None)
        if call is None:
            return
        lower = _find_lower(call, pausable)
        if lower is not None:
            self.breaches.append(
                f'{at_ms:.0f} ms: {instance} preempted {call.call_class.name}'
                f' while {lower.call_class.name} ran'
            )
        self._waiting.setdefault(instance, {})[request_id] = call

    def ended(
        self, at_ms: float, instance: str, request_id: str, code: ResultCode
    ) -> None:
        """Note that a request left an instance."""
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
            self.breaches.append(
                f'{at_ms:.0f} ms: {instance} shed {call.call_class.name}'
                f' ({code.name}) while it held {lower.call_class.name}'
            )

    def forget(self, instance: str) -> None:
        """Forget an instance that is gone."""
        self._waiting.pop(instance, None)
        self._running.pop(instance, None)
        self._pausable.pop(instance, None)


def _find_lower(call: Call, others: dict[str, Call]) -> Call | None:
    """Return lower work of the same pool."""
    for other in others.values():
        wanted = other.call_class
        same_pool = wanted.service == call.call_class.service
        if same_pool and wanted.tier > call.call_class.tier:
            return other
    return None
