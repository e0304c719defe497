"""An event loop whose time advances only when it has nothing to do."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, TypeVar

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar('Result')

# The maximum real time for the delivery of a datagram or byte on loopback: the kernel
# delivers it during the send call, or slightly later on a busy machine.
DELIVERY_S = 0.001


class VirtualSelector(selectors.DefaultSelector):
    """Selects ready sockets; if there are none, advances the time at once.

    A program and its peers run on one loop and communicate over loopback, so while no
    socket is ready, all of them wait for a timer.

    :param delivery_s: the maximum real time for a delivery; 0 without sockets.
    """

    def __init__(self, delivery_s: float = DELIVERY_S) -> None:
        super().__init__()
        self._delivery_s = delivery_s
        self.time_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets, without waiting for a timer.

        :param timeout: the time until the next timer in seconds; None without a timer.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return super().select(None)
        ready = super().select(self._delivery_s) if self._delivery_s else []
        if not ready:
            self.time_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, starting at 0.

    :param delivery_s: the maximum real time for a delivery; 0 without sockets.
    """

    def __init__(self, delivery_s: float = DELIVERY_S) -> None:
        self._virtual = VirtualSelector(delivery_s)
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.time_s


class LoopClock:
    """The time of the running loop."""

    def now_ms(self) -> int:
        """Return the time of the loop in milliseconds."""
        return round(asyncio.get_running_loop().time() * MS_PER_S)


def run_virtual(
    main: Coroutine[object, object, Result], *, sockets: bool = True
) -> Result:
    """Run a coroutine on a new loop with virtual time.

    :param main: the coroutine.
    :param sockets: whether it uses sockets, for which the loop has to wait.
    """
    delivery_s = DELIVERY_S if sockets else 0.0
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(delivery_s)) as runner:
        return runner.run(main)
