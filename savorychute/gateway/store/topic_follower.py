"""Follows a keyed topic through outages and lost history."""

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
    from savorychute.gateway.store.pace import Pace
    from savorychute.gateway.store.topic_delta import TopicDelta
    from savorychute.gateway.store.topic_snapshot import TopicSnapshot

FIRST_RETRY_MS = 100
# Between two looks at a gate that is shut.
GATE_MS = 100
# With so many records left after a read the topic is listed instead.
FAR_BEHIND = 2


class ReadingGate(Protocol):
    """Whether this instance reads a topic, and from where."""

    def is_open(self) -> bool:
        """Return whether to read now."""
        ...

    def is_regular(self) -> bool:
        """Return whether this instance is one of those that read for all."""
        ...

    def may_wait(self) -> bool:
        """Return whether a read may wait for a change.

        One that reads only because others are silent has no time to wait.
        """
        ...

    def longest_retry_ms(self) -> int:
        """Return the longest pause between two reads that fail."""
        ...

    def next_offset(self, read: int | None) -> int | None:
        """Return where to read on, or None to list the topic.

        :param read: where the follower's own reading ended; None for nowhere.
        """
        ...


class TopicListener(Protocol):
    """Who is told what a topic holds."""

    def topic_listed(self, snapshot: TopicSnapshot, began_ms: int) -> None:
        """Take the newest record of each key, as of some moment after *began_ms*."""
        ...

    def topic_changed(self, delta: TopicDelta, began_ms: int) -> None:
        """Take the records written since; none if there were none."""
        ...

    def topic_failed(self, error: StoreUnavailableError) -> None:
        """Take that a read failed."""
        ...


class TopicFollower:
    """Lists a topic, then reads what is written to it.

    After a loss of history, and after an outage, the topic is listed anew: the
    store keeps the newest record of each key when it forgets all others.  So it is where a
    read could not bring all that was written: the records are large then, and one after the
    other would be old before it has arrived.  And so it is when the store has come back from
    an older copy: the offset may hold another record now, or none.

    :param topic: the topic.
    :param pace: how often it is read.
    :param gate: whether this instance reads the topic at present.
    :param listener: who is told.
    :param clock: the time.
    :param rng: spreads the retries of many instances.
    :param count_call: counts each call to the store.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        pace: Pace,
        gate: ReadingGate,
        listener: TopicListener,
        clock: Clock,
        rng: random.Random,
        count_call: Callable[[CallPurpose], None],
    ) -> None:
        self._topic = topic
        self._pace = pace
        self._gate = gate
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._count_call = count_call
        self._offset: int | None = None
        self._era = 0
        self._retry_ms = FIRST_RETRY_MS

    async def run(self) -> None:
        """Follow the topic until the task is cancelled; begin with a listing."""
        self._offset = None
        while True:
            if not self._gate.is_open():
                await asyncio.sleep(GATE_MS / MS_PER_S)
                continue
            try:
                await self._step()
                self._retry_ms = FIRST_RETRY_MS
            except HistoryLostError:
                self._offset = None
            except StoreUnavailableError as error:
                self._listener.topic_failed(error)
                await self._rest(self._retry_ms)
                self._retry_ms = min(2 * self._retry_ms, self._gate.longest_retry_ms())

    async def _step(self) -> None:
        began_ms = self._clock.now_ms()
        offset = self._gate.next_offset(self._offset)
        self._count_call(self._purpose(offset))
        if offset is None:
            snapshot = await self._topic.list_newest()
            self._offset = snapshot.next_offset
            self._era = snapshot.era
            self._listener.topic_listed(snapshot, began_ms)
        else:
            wait_ms = self._pace.wait_ms if self._gate.may_wait() else 0
            delta = await self._topic.read_from(offset, wait_ms)
            if delta.era != self._era:
                raise HistoryLostError('the store has gone back to an older copy')
            self._offset = delta.next_offset if delta.left < FAR_BEHIND else None
            self._listener.topic_changed(delta, began_ms)
        if self._pace.pause_ms:
            await self._rest(self._pace.pause_ms)

    def _purpose(self, offset: int | None) -> CallPurpose:
        if offset is None:
            return CallPurpose.LIST
        if self._gate.is_regular():
            return CallPurpose.READ_FOR_ALL
        return CallPurpose.READ_FOR_ITSELF

    async def _rest(self, duration_ms: int) -> None:
        await asyncio.sleep(duration_ms * self._rng.uniform(0.8, 1.0) / MS_PER_S)
