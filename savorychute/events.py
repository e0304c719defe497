"""Named events that extensions connect to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

EVENT_NAMES = (
    'request-received',
    'request-finished',
    'configuration-applied',
    'member-changed',
    'endpoint-ejected',
    'endpoint-readmitted',
    'request-quarantined',
    'lease-changed',
    'order-sent',
    'audit-recorded',
    'instance-leaving',
)


class EventManager:
    """Callbacks by event name.

    Callbacks run in the order in which they were connected, on the event loop of
    the instance.  They must not block.
    """

    def __init__(self) -> None:
        self._callbacks: dict[str, list[Callable[..., None]]] = {
            name: [] for name in EVENT_NAMES
        }

    def connect(self, name: str, callback: Callable[..., None]) -> None:
        """Call *callback* each time the event is emitted.

        :param name: one of :data:`EVENT_NAMES`.
        :param callback: receives the event's payload as its only argument.
        :raises KeyError: if there is no such event.
        """
        self._callbacks[name].append(callback)

    def emit(self, name: str, payload: object) -> None:
        """Call the callbacks that are connected to the event.

        :param name: one of :data:`EVENT_NAMES`.
        :param payload: the typed message that describes the event.
        """
        for callback in self._callbacks[name]:
            callback(payload)
