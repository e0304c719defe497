"""Turns of connections that have received more than can be processed at once."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ReadTurns:
    """Lets one connection after the other process a part of what it has received.

    There is one turn in each iteration of the event loop, so that connections with many
    small chunks, or many requests sent ahead, delay all others by one turn at most,
    however many they are.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, take_turn: Callable[[], None]) -> None:
        """Wait for a turn.

        :param take_turn: called once, in a later iteration of the event loop.
        """
        self._waiting.append(take_turn)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_next)

    def _take_next(self) -> None:
        self._is_scheduled = False
        take_turn = self._waiting.popleft()
        self._schedule()
        take_turn()
