"""Timers of the running event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable


class LoopTimers:
    """Sets timers on the running event loop."""

    def call_later(
        self, delay_ms: int, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Call a function once, after a delay.

        :param delay_ms: delay from now.
        :param callback: called without arguments.
        """
        return asyncio.get_running_loop().call_later(delay_ms / MS_PER_S, callback)
