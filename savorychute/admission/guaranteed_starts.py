"""The guaranteed minimum number of starts of each class."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.admission.class_key import ClassKey


class GuaranteedStarts:
    """Selects the class that is due a start in one pool, whatever its tier.

    A class with a guaranteed share *q* of the starts is due ``ceil(1 / q)``
    starts after its last one, or after it first had work.  Due classes are
    served in the order in which they became due, with one start in
    ``one_in``.  A class that can start is therefore started within
    ``ceil(1 / q) + one_in * classes`` starts of its pool: the first term is the
    time until it is due, the second the time for the classes that were due
    before it, each of which falls behind it once served.

    :param one_in: at most one of this many starts is made for a guarantee.
    """

    def __init__(self, one_in: int) -> None:
        self.one_in = one_in
        self.start_count = 0
        self._last_guaranteed_start = -one_in
        # The number of the start from which on each class is due.
        self._due_start: dict[ClassKey, int] = {}
        self._interval_starts: dict[ClassKey, int] = {}
        self._heap: list[tuple[int, ClassKey]] = []
        self._in_heap: set[ClassKey] = set()

    def add(self, key: ClassKey, share: float) -> None:
        """Record that a class has waiting requests.

        A class that ran out of requests without a start keeps its due start.
        Otherwise a class whose requests time out one by one would never be due.

        :param key: the class.
        :param share: the guaranteed share of the starts.
        """
        self._interval_starts[key] = math.ceil(1 / share)
        due_start = self._due_start.setdefault(
            key, self.start_count + self._interval_starts[key]
        )
        if key not in self._in_heap:
            self._in_heap.add(key)
            heapq.heappush(self._heap, (due_start, key))

    def record_start(self, key: ClassKey, *, is_guaranteed: bool) -> None:
        """Record a start.

        :param key: the class of the request that was started.
        :param is_guaranteed: whether it was started because of its guarantee.
        """
        self.start_count += 1
        self._due_start[key] = self.start_count + self._interval_starts[key]
        if is_guaranteed:
            self._last_guaranteed_start = self.start_count

    def pop_due(self) -> ClassKey | None:
        """Remove and return the class whose guarantee is due now, if any.

        The caller returns it with :meth:`put_back` if it still has waiting
        requests.
        """
        if self.start_count - self._last_guaranteed_start < self.one_in - 1:
            return None
        while self._heap:
            entry_due_start, key = self._heap[0]
            if entry_due_start > self.start_count:
                return None
            heapq.heappop(self._heap)
            due_start = self._due_start[key]
            if due_start <= self.start_count:
                self._in_heap.discard(key)
                return key
            heapq.heappush(self._heap, (due_start, key))
        return None

    def put_back(self, key: ClassKey) -> None:
        """Make a class available to :meth:`pop_due` again.

        :param key: a class that :meth:`pop_due` returned.
        """
        if key not in self._in_heap:
            self._in_heap.add(key)
            heapq.heappush(self._heap, (self._due_start[key], key))
