"""A stand-in engine's prefix cache, with late events and gaps."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from savorychute.testing.engine_settings import EngineSettings


class CacheEvent(NamedTuple):
    """A block came into the cache or left it."""

    sequence: int
    at_ms: float
    block: int
    evicted: bool


class CacheNews(NamedTuple):
    """The events since a cursor that are published by now."""

    sequence: int
    cached: tuple[int, ...]
    evicted: tuple[int, ...]
    gap: bool


class PrefixCache:
    """Blocks in least-recently-used order, and the events about them."""

    def __init__(self, settings: EngineSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=settings.cache_events_kept)
        self._sequence = 0

    def match(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark them used."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(blocks)

    def store(self, blocks: Sequence[int], now_ms: float) -> None:
        """Put blocks in, evicting what was used longest ago."""
        for block in blocks:
            if block not in self._blocks:
                self._note(block, False, now_ms)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._settings.cache_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._note(block, True, now_ms)

    def clear(self) -> None:
        """Forget everything, as a crash does."""
        self._blocks.clear()
        self._events.clear()
        self._sequence += 1

    def read(self, cursor: int, now_ms: float) -> CacheNews:
        """Return what was published after *cursor*.

        :param cursor: a sequence number of an earlier answer, or 0.
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
        return CacheNews(newest, tuple(cached), tuple(evicted), gap)

    def _note(self, block: int, evicted: bool, now_ms: float) -> None:
        self._sequence += 1
        share = self._settings.cache_gap_share
        if share and self._rng.random() < share:
            return
        self._events.append(CacheEvent(self._sequence, now_ms, block, evicted))
