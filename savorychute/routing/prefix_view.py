"""The presumed content of the prefix cache of an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class PrefixView:
    """Prefix hashes in two generations, limited in number and in age.

    A set of hashes per generation needs no time stamp per entry.  After half a
    lifetime, or when it is full, the younger generation becomes the older one,
    and the older one is dropped.  An entry is retained for between half a
    lifetime and a whole one after its last use.

    :param capacity: the maximum number of hashes.
    :param lifetime_ms: the time after which an unused hash is discarded.
    """

    __slots__ = ('_capacity', '_half_life_ms', '_older', '_rotated_ms', '_younger')

    def __init__(self, capacity: int, lifetime_ms: int) -> None:
        self._capacity = max(2, capacity)
        self._half_life_ms = lifetime_ms // 2
        self._younger: set[int] = set()
        self._older: set[int] = set()
        self._rotated_ms = 0

    def __len__(self) -> int:
        return len(self._younger) + len(self._older)

    def add(self, hashes: Iterable[int], now_ms: int) -> None:
        """Record that the endpoint has cached *hashes*."""
        self._rotate_if_due(now_ms)
        for prefix_hash in hashes:
            if len(self._younger) * 2 >= self._capacity:
                self._start_generation(now_ms)
            self._younger.add(prefix_hash)

    def discard(self, hashes: Iterable[int]) -> None:
        """Remove *hashes*, which the endpoint has evicted."""
        for prefix_hash in hashes:
            self._younger.discard(prefix_hash)
            self._older.discard(prefix_hash)

    def clear(self) -> None:
        """Remove all hashes.

        After a gap in the cache events of the endpoint an eviction may have been
        missed.  Evicted prefixes that are presumed to be cached would attract
        requests to an endpoint that has to compute all of them.
        """
        self._younger.clear()
        self._older.clear()

    def count_cached_blocks(self, hashes: tuple[int, ...], now_ms: int) -> int:
        """Return how many blocks at the start of *hashes* are cached.

        Uses bisection: a hash covers all blocks before it and engines evict a
        chain from its end, so that the cached blocks are a prefix of the chain.
        """
        self._rotate_if_due(now_ms)
        younger = self._younger
        older = self._older
        if not hashes or (hashes[0] not in younger and hashes[0] not in older):
            return 0
        low = 1
        high = len(hashes)
        while low < high:
            middle = (low + high + 1) // 2
            prefix_hash = hashes[middle - 1]
            if prefix_hash in younger or prefix_hash in older:
                low = middle
            else:
                high = middle - 1
        return low

    def _rotate_if_due(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._rotated_ms
        if elapsed_ms < self._half_life_ms:
            return
        if elapsed_ms >= 2 * self._half_life_ms:
            self._younger = set()
        self._start_generation(now_ms)

    def _start_generation(self, now_ms: int) -> None:
        self._older = self._younger
        self._younger = set()
        self._rotated_ms = now_ms
