"""Follows a keyed topic across outages and lost history."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from savorychute.clock import MS_PER_S
from savorychute.gateway.store.call_purpose import CallPurpose
from savorychute.gateway.store.store_errors import (
    HistoryLostError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from savorychute.clock import Clock
    from savorychute.gateway.store.keyed_topic import KeyedTopic
    from savorychute.gateway.store.read_timing import ReadTiming
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot

MIN_RETRY_MS = 100
# The interval between two checks of a closed gate.
GATE_POLL_INTERVAL_MS = 100
# If at least this many records remain after a read, the topic is listed instead.
RELIST_MIN_REMAINING = 2


class ReadGate(Protocol):
    """Determines whether this instance reads a topic, and from which offset."""

    def is_open(self) -> bool:
        """Return whether to read now."""
        ...

    def reads_for_all(self) -> bool:
        """Return whether this instance is one of those that read for all."""
        ...

    def can_wait(self) -> bool:
        """Return whether a read may wait for a change.

        An instance that reads only because others do not respond has no time to wait.
        """
        ...

    def max_retry_ms(self) -> int:
        """Return the longest delay between two failing reads."""
        ...

    def next_offset(self, own_offset: int | None) -> int | None:
        """Return the offset to read from, or None to list the topic.

        :param own_offset: the offset at which the follower's last read ended; None if
            there is none.
        """
        ...


class TopicListener(Protocol):
    """Receives the contents of a topic."""

    def on_snapshot(self, snapshot: TopicSnapshot, started_ms: int) -> None:
        """Handle the newest record of each key, as of a time after *started_ms*."""
        ...

    def on_delta(self, delta: TopicDelta, started_ms: int) -> None:
        """Handle the records written since the last read, if any."""
        ...

    def on_failure(self, error: StoreUnavailableError) -> None:
        """Handle the failure of a read."""
        ...


class TopicFollower:
    """Lists a topic, then reads the records that are written to it.

    The topic is listed again after a loss of history or an outage, because the store
    keeps the newest record of each key when it drops all others. It is also listed if a
    read could not return all written records: the records are then large, and each of
    them would be outdated before it arrives. Finally, it is listed after the store was
    restored from an older copy, because the offset may then hold a different record, or
    none.

    :param topic: the topic.
    :param timing: how often it is read.
    :param gate: determines whether this instance reads the topic at present.
    :param listener: receives the records.
    :param clock: the current time.
    :param rng: randomises the retries of many instances.
    :param count_call: counts each call to the store.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        timing: ReadTiming,
        gate: ReadGate,
        listener: TopicListener,
        clock: Clock,
        rng: random.Random,
        count_call: Callable[[CallPurpose], None],
    ) -> None:
        self._topic = topic
        self._timing = timing
        self._gate = gate
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._count_call = count_call
        self._offset: int | None = None
        self._era = 0
        self._retry_ms = MIN_RETRY_MS

    async def run(self) -> None:
        """Follow the topic until the task is cancelled; start with a listing."""
        self._offset = None
        while True:
            if not self._gate.is_open():
                await asyncio.sleep(GATE_POLL_INTERVAL_MS / MS_PER_S)
                continue
            try:
                await self._read_once()
                self._retry_ms = MIN_RETRY_MS
            except HistoryLostError:
                self._offset = None
            except StoreUnavailableError as error:
                self._listener.on_failure(error)
                await self._sleep(self._retry_ms)
                self._retry_ms = min(2 * self._retry_ms, self._gate.max_retry_ms())

    async def _read_once(self) -> None:
        started_ms = self._clock.now_ms()
        offset = self._gate.next_offset(self._offset)
        self._count_call(self._call_purpose(offset))
        if offset is None:
            snapshot = await self._topic.list_newest()
            self._offset = snapshot.next_offset
            self._era = snapshot.era
            self._listener.on_snapshot(snapshot, started_ms)
        else:
            wait_ms = self._timing.wait_ms if self._gate.can_wait() else 0
            delta = await self._topic.read_from(offset, wait_ms)
            if delta.era != self._era:
                raise HistoryLostError('the store has gone back to an older copy')
            self._offset = (
                delta.next_offset if delta.remaining < RELIST_MIN_REMAINING else None
            )
            self._listener.on_delta(delta, started_ms)
        if self._timing.delay_ms:
            await self._sleep(self._timing.delay_ms)

    def _call_purpose(self, offset: int | None) -> CallPurpose:
        if offset is None:
            return CallPurpose.LIST
        if self._gate.reads_for_all():
            return CallPurpose.READ_FOR_ALL
        return CallPurpose.READ_FOR_ITSELF

    async def _sleep(self, duration_ms: int) -> None:
        await asyncio.sleep(duration_ms * self._rng.uniform(0.8, 1.0) / MS_PER_S)
