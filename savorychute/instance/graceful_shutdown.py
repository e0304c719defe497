"""Graceful shutdown: finish running requests, hand over queued ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.parts import InstanceParts
    from savorychute.instance.responder import Responder

NOT_STARTED_MS = -1


class GracefulShutdown:
    """The shutdown phase of an instance.

    Queued requests are still started with the credit that the instance holds.
    Once that credit has run out no more would start, so the requests that are
    still queued then are ended at once and sent to another instance.

    :param parts: the parts of the instance.
    :param responder: ends the requests that are handed over.
    """

    def __init__(self, parts: InstanceParts, responder: Responder) -> None:
        self._parts = parts
        self._responder = responder
        self._started_ms = NOT_STARTED_MS
        self._has_handed_over = False

    @property
    def has_started(self) -> bool:
        """Whether the shutdown has started and new requests are refused."""
        return self._started_ms != NOT_STARTED_MS

    def start(self, now_ms: int) -> list[Action]:
        """Announce the shutdown to the other instances; keep all credit for now."""
        if self.has_started:
            return []
        self._started_ms = now_ms
        self._parts.events.emit('instance-leaving', self._parts.address)
        return [*self._parts.membership.leave(now_ms), *self.tick(now_ms)]

    def tick(self, now_ms: int) -> list[Action]:
        """Hand over once the queue is empty or the handover time has passed."""
        if not self.has_started or self._has_handed_over:
            return []
        elapsed_ms = now_ms - self._started_ms
        is_time_up = elapsed_ms >= self._parts.settings.handover_ms
        if self._parts.admission.pools() and not is_time_up:
            return []
        self._has_handed_over = True
        return self._hand_over(now_ms)

    def find_other_instance(self) -> str:
        """Return the address of another instance for callers, or ''."""
        view = self._parts.membership.view()
        own = self._parts.address
        other_members = [
            member for member in view.alive if member.instance != own.instance
        ]
        same_region = [
            member for member in other_members if member.region == own.region
        ]
        for member in same_region or other_members:
            return f'{member.host}:{member.caller_port}'
        return ''

    def _hand_over(self, now_ms: int) -> list[Action]:
        parts = self._parts
        actions: list[Action] = []
        location = self.find_other_instance()
        for tracked in parts.request_table:
            if tracked.attempt is not None:
                continue
            code = ResultCode.SHUTTING_DOWN
            target = '' if tracked.holds_key else location
            actions += self._responder.give_up(
                tracked, code, code.meaning, now_ms, location=target
            )
        view = parts.membership.view()
        actions += parts.credits.leave(view, now_ms)
        actions += parts.limiter.leave(view, now_ms)
        return actions
