"""The prefix cache of a stand-in engine, with delayed and lost events."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from savorychute.testing.engine_settings import EngineSettings


class CacheEvent(NamedTuple):
    """A block was added to the cache or evicted from it."""

    sequence: int
    at_ms: float
    block: int
    evicted: bool


class CacheUpdates(NamedTuple):
    """The published events after a cursor."""

    sequence: int
    cached: tuple[int, ...]
    evicted: tuple[int, ...]
    gap: bool


class PrefixCache:
    """A cache of blocks with least-recently-used eviction, and its events."""

    def __init__(self, settings: EngineSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=settings.cache_events_kept)
        self._sequence = 0

    def match(self, blocks: Sequence[int]) -> int:
        """Return the number of cached leading blocks, and mark them as used."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(blocks)

    def store(self, blocks: Sequence[int], now_ms: float) -> None:
        """Add blocks and evict the least recently used ones."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event(block, False, now_ms)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._settings.cache_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event(block, True, now_ms)

    def clear(self) -> None:
        """Remove all blocks and events, as a crash does."""
        self._blocks.clear()
        self._events.clear()
        self._sequence += 1

    def read(self, cursor: int, now_ms: float) -> CacheUpdates:
        """Return the events published after *cursor*.

        :param cursor: the sequence number of an earlier result, or 0.
        """
        published_ms = now_ms - self._settings.cache_lag_ms
        expected = cursor + 1
        gap = False
        cached: list[int] = []
        evicted: list[int] = []
        newest = cursor
        for event in self._events:
            if event.sequence <= cursor:
                continue
            if event.at_ms > published_ms:
                break
            gap = gap or event.sequence != expected
            expected = event.sequence + 1
            newest = event.sequence
            (evicted if event.evicted else cached).append(event.block)
        return CacheUpdates(newest, tuple(cached), tuple(evicted), gap)

    def _record_event(self, block: int, evicted: bool, now_ms: float) -> None:
        self._sequence += 1
        share = self._settings.cache_gap_share
        if share and self._rng.random() < share:
            return
        self._events.append(CacheEvent(self._sequence, now_ms, block, evicted))
