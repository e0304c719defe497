"""Leave gracefully: finish what is in progress, hand over the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.result_code import ResultCode

if TYPE_CHECKING:
    from savorychute.actions import Action
    from savorychute.instance.parts import Parts
    from savorychute.instance.responder import Responder

NOT_LEAVING = -1


class Departure:
    """The last phase of an instance's life.

    What waits here goes on being started with the credit that the instance
    still holds.  Once that has run out nothing more would start, so what
    waits then is told at once to go elsewhere.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: Parts, responder: Responder) -> None:
        self._parts = parts
        self._responder = responder
        self._since_ms = NOT_LEAVING
        self._has_handed_over = False

    @property
    def has_begun(self) -> bool:
        """Whether nothing new is taken any more."""
        return self._since_ms != NOT_LEAVING

    def begin(self, now_ms: int) -> list[Action]:
        """Tell the other instances; nothing is given back yet."""
        if self.has_begun:
            return []
        self._since_ms = now_ms
        self._parts.events.emit('instance-leaving', self._parts.address)
        return [*self._parts.membership.leave(now_ms), *self.tick(now_ms)]

    def tick(self, now_ms: int) -> list[Action]:
        """Hand over when nothing waits any more, or the time for it is up."""
        if not self.has_begun or self._has_handed_over:
            return []
        waited_ms = now_ms - self._since_ms
        is_late = waited_ms >= self._parts.settings.handover_ms
        if self._parts.admission.pools() and not is_late:
            return []
        self._has_handed_over = True
        return self._hand_over(now_ms)

    def find_other_instance(self) -> str:
        """Return the address of an instance that callers may go to, or ''."""
        view = self._parts.membership.view()
        own = self._parts.address
        others = [member for member in view.alive if member.instance != own.instance]
        near = [member for member in others if member.region == own.region]
        for member in near or others:
            return f'{member.host}:{member.caller_port}'
        return ''

    def _hand_over(self, now_ms: int) -> list[Action]:
        parts = self._parts
        actions: list[Action] = []
        location = self.find_other_instance()
        for tracked in parts.table:
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
