"""Timers of the running loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable


class LoopTimers:
    """Sets timers on the loop that runs."""

    def call_later(
        self, delay_ms: int, callback: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Call back once, after a delay.

        :param delay_ms: from now.
        :param callback: takes nothing.
        """
        return asyncio.get_running_loop().call_later(delay_ms / MS_PER_S, callback)
