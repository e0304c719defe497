"""Lets several callers share one call that begins after all of them have asked."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

Result = TypeVar('Result')


class SharedCall(Generic[Result]):
    """Makes one call at a time; those that ask meanwhile share the next one.

    :param call: makes the call; must not raise.
    """

    def __init__(self, call: Callable[[], Awaitable[Result]]) -> None:
        self._call = call
        self._waiting: list[Callable[[Result], None]] = []
        self._task: asyncio.Task[None] | None = None

    def join(self, on_done: Callable[[Result], None]) -> None:
        """Ask for the result of a call that has not begun yet.

        :param on_done: called once with the result.
        """
        self._waiting.append(on_done)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._waiting:
                callbacks, self._waiting = self._waiting, []
                result = await self._call()
                for callback in callbacks:
                    callback(result)
        finally:
            self._task = None
