"""An event loop whose time passes only while nothing else is to be done."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, TypeVar

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar('Result')

# What a datagram or a byte on loopback may take, in real time: the kernel delivers it
# while the sender still sends, on a busy machine a little later.
DELIVERY_S = 0.001


class VirtualSelector(selectors.DefaultSelector):
    """Reports what is ready; when nothing is, lets the time pass at once.

    A program and all that it talks to run on one loop and meet on loopback: while no
    socket is ready, each of them waits for a timer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.time_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, without a wait for a timer.

        :param timeout: until the next timer, in seconds; None for no timer.
        """
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return super().select(None)
        ready = super().select(DELIVERY_S)
        if not ready:
            self.time_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time, from 0 on."""

    def __init__(self) -> None:
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.time_s


class LoopClock:
    """The time of the running loop."""

    def now_ms(self) -> int:
        """Return the loop's time."""
        return round(asyncio.get_running_loop().time() * MS_PER_S)


def run_virtual(main: Coroutine[object, object, Result]) -> Result:
    """Run a coroutine on a loop of its own, on virtual time.

    :param main: what to run.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
