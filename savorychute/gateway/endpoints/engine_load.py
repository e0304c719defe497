"""Load report of a model engine."""

from __future__ import annotations

from bisect import bisect_right
from functools import cached_property
from typing import NamedTuple

# A stream with at most this many events has just started: beside prefills, two events
# take about as long as a report is old.
MAX_STARTED_EVENTS = 2


class RunningStream(NamedTuple):
    """A stream that an engine generates: its rank, and its number of events."""

    rank: int
    events: int


class _EngineLoadFields(NamedTuple):
    waiting: int
    prefilling: int
    generating: int
    next_tokens: int
    leaving: bool = False
    born_ms: int = 0
    streams: tuple[RunningStream, ...] = ()


class EngineLoad(_EngineLoadFields):
    """Load of an engine, a few hundred ms before the report.

    ``prefilling`` requests were admitted and do not generate yet; ``next_tokens`` is
    the size of the first prompt in the queue.  ``leaving`` is true for an engine that
    will end.  ``born_ms`` is when the engine started, 0 if it is not reported.
    ``streams`` are the generating streams, empty if the engine does not report them
    individually.

    Each choice evaluates the loads of many engines, some for several ranks, so values
    derived from the streams are computed once per report.  A choice among 59 engines
    with 40 streams each takes 120 µs, instead of 332 µs without this.
    """

    @property
    def requests(self) -> int:
        """Number of requests at the engine."""
        return self.waiting + self.prefilling + self.generating

    def generating_ahead(self, rank: int) -> int:
        """Return how many streams are running that are at least as urgent as a rank.

        :param rank: rank of a request; all streams count if their ranks are not
            reported.
        """
        if not self.streams:
            return self.generating
        return bisect_right(self._ranks, rank)

    def waiting_ahead(self, rank: int) -> int:
        """Return how many prompts the engine may prefill before one of a rank.

        An engine starts the most urgent waiting request.  So if it has just started a
        less urgent one, none of this rank was waiting; otherwise all waiting ones may
        be ahead.

        :param rank: rank of the request.
        """
        begun_rank = self.begun_rank
        if begun_rank is not None and begun_rank > rank:
            return 0
        return self.waiting

    def requests_ahead(self, rank: int) -> int:
        """Return how many requests a request of a rank cannot pass.

        :param rank: rank of the request.
        """
        return self.waiting_ahead(rank) + self.prefilling + self.generating_ahead(rank)

    @cached_property
    def _ranks(self) -> list[int]:
        return sorted(stream.rank for stream in self.streams)

    @cached_property
    def begun_rank(self) -> int | None:
        """The least urgent rank of a stream that has just started, or None.

        An engine starts the most urgent waiting request, so no request more urgent than
        this rank was waiting then.
        """
        started_ranks = [
            each.rank for each in self.streams if each.events <= MAX_STARTED_EVENTS
        ]
        return max(started_ranks, default=None)
