"""The guaranteed minimum of starts of each class."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savorychute.admission.class_key import ClassKey


class GuaranteedStarts:
    """Says which class is due a start in one pool, whatever its tier.

    A class with guaranteed share *q* of the starts is due ``ceil(1 / q)``
    starts after its last one, or after it first had work.  Due classes are
    served earliest first, by one start in ``one_in``.  So a class that may
    start is started within ``ceil(1 / q) + one_in * classes`` starts of its
    pool: until it is due, and then after the classes that were due before
    it, each of which is overtaken by it once served.

    :param one_in: at most one start in that many is paid for a guarantee.
    """

    def __init__(self, one_in: int) -> None:
        self.one_in = one_in
        self.start_count = 0
        self._last_paid = -one_in
        self._due: dict[ClassKey, int] = {}
        self._gap: dict[ClassKey, int] = {}
        self._heap: list[tuple[int, ClassKey]] = []
        self._in_heap: set[ClassKey] = set()

    def add(self, key: ClassKey, share: float) -> None:
        """Note that a class has waiting work.

        A class that ran out of work without a start keeps its claim.  Else a
        class whose requests time out one by one would never be due.

        :param key: the class.
        :param share: its guaranteed part of the starts.
        """
        self._gap[key] = math.ceil(1 / share)
        due = self._due.setdefault(key, self.start_count + self._gap[key])
        if key not in self._in_heap:
            self._in_heap.add(key)
            heapq.heappush(self._heap, (due, key))

    def started(self, key: ClassKey, *, paid: bool) -> None:
        """Note a start.

        :param key: the class that was started.
        :param paid: whether its guarantee was the reason.
        """
        self.start_count += 1
        self._due[key] = self.start_count + self._gap[key]
        if paid:
            self._last_paid = self.start_count

    def pop_due(self) -> ClassKey | None:
        """Return the class that is to be started now, if any.

        The caller gives it back with :meth:`put_back` if it still waits.
        """
        if self.start_count - self._last_paid < self.one_in - 1:
            return None
        while self._heap:
            noted, key = self._heap[0]
            if noted > self.start_count:
                return None
            heapq.heappop(self._heap)
            due = self._due[key]
            if due <= self.start_count:
                self._in_heap.discard(key)
                return key
            heapq.heappush(self._heap, (due, key))
        return None

    def put_back(self, key: ClassKey) -> None:
        """Consider a class again.

        :param key: a class that :meth:`pop_due` returned.
        """
        if key not in self._in_heap:
            self._in_heap.add(key)
            heapq.heappush(self._heap, (self._due[key], key))
