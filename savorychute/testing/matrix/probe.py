"""Monitors one call or command and acts when it reaches a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.testing.matrix import steps

if TYPE_CHECKING:
    from collections.abc import Callable

    from savorychute.testing.event_heap import EventHeap
    from savorychute.testing.ledger import Execution, Ledger

QUEUED_AFTER_MS = 30.0
SPREADING_AFTER_MS = 5.0


class Probe:
    """Calls a function once, when its subject first reaches its step.

    :param heap: the event heap of the simulation.
    :param ledger: reports executions at endpoints.
    :param subject: the id of the call or command.
    :param step: the step to wait for.
    :param on_step: called when the step is reached.
    """

    def __init__(
        self,
        heap: EventHeap,
        ledger: Ledger,
        subject: str,
        step: str,
        on_step: Callable[[Probe], None],
    ) -> None:
        self.subject = subject
        self.step = step
        self.instance = ''
        self.endpoint = ''
        self.has_fired = False
        self._heap = heap
        self._on_step = on_step
        self._is_in_progress = False
        ledger.on_execution = self._record_execution

    def reached(self, step: str, subject: str, instance: str) -> None:
        """Handle that a subject reached a step.

        A start notice or an append does not state its subject; it counts if the
        subject of the probe is in progress.
        """
        if subject == self.subject:
            self._is_in_progress = True
            if instance:
                self.instance = instance
        elif not subject.startswith('*') or not self._is_in_progress:
            return
        if step == steps.RECEIVED and self.step == steps.QUEUED:
            self._heap.call_later(QUEUED_AFTER_MS, self._fire)
        elif step == steps.REPLIED and self.step == steps.SPREADING:
            self._heap.call_later(SPREADING_AFTER_MS, self._fire)
        elif step == self.step:
            self._heap.call_later(0, self._fire)

    def record_endpoint(self, subject: str, endpoint: str) -> None:
        """Record the endpoint that runs the subject."""
        if subject == self.subject:
            self.endpoint = endpoint

    def _record_execution(self, execution: Execution) -> None:
        if execution.marker == self.subject:
            self.reached(steps.ACCEPTED, self.subject, '')

    def _fire(self) -> None:
        if not self.has_fired:
            self.has_fired = True
            self._on_step(self)
