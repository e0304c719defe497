"""Writes the origins that instances tell this one to the store."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S
from savorychute.gateway.store.store_errors import StoreUnavailableError
from savorychute.gateway.streams.origin_group import group_records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from savorychute.clock import Clock
    from savorychute.gateway.daemon.stream_store import StreamStore
    from savorychute.gateway.streams.origin_group import OriginGroup

# Between two appends; the first origin after a pause is written at once.
APPEND_INTERVAL_MS = 100
RETRY_MS = 300
TRIM_INTERVAL_MS = 30_000
# While the store is down the newest origins are kept.
MAX_GROUPS = 4_096
MAX_GROUPS_PER_APPEND = 512


class OriginCollector:
    """Appends origins in batches, and trims those that nobody needs any more.

    :param store: the log in the store.
    :param clock: the clock.
    """

    def __init__(self, store: StreamStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._groups: deque[OriginGroup] = deque(maxlen=MAX_GROUPS)
        self._has_groups = asyncio.Event()
        self._longest_ms = 0
        # Offsets of this instance's appends, with their times.
        self._appended: deque[tuple[int, int]] = deque(maxlen=MAX_GROUPS)
        self._next_trim_ms = 0

    def collect(self, groups: Iterable[OriginGroup]) -> None:
        """Append some origins soon.

        :param groups: the origins.
        """
        for group in groups:
            self._groups.append(group)
            self._longest_ms = max(self._longest_ms, group.lifetime_ms)
        self._has_groups.set()

    async def run(self) -> None:
        """Append what is collected until the task is cancelled."""
        while True:
            await self._has_groups.wait()
            try:
                await self._append()
                await self._trim()
            except StoreUnavailableError:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
            else:
                await asyncio.sleep(APPEND_INTERVAL_MS / MS_PER_S)

    async def _append(self) -> None:
        count = min(len(self._groups), MAX_GROUPS_PER_APPEND)
        batch = [self._groups.popleft() for _ in range(count)]
        records = (record for group in batch for record in group.records())
        try:
            offset = await self._store.append(group_records(records))
        except StoreUnavailableError:
            self._groups.extendleft(reversed(batch))
            raise
        self._appended.append((offset, self._clock.now_ms()))
        if not self._groups:
            self._has_groups.clear()

    async def _trim(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._next_trim_ms:
            return
        self._next_trim_ms = now_ms + TRIM_INTERVAL_MS
        before = None
        while self._appended and now_ms - self._appended[0][1] > self._longest_ms:
            before, _ = self._appended.popleft()
        if before is not None:
            await self._store.trim(before)
