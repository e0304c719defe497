"""What a model engine reports of its load."""

from __future__ import annotations

from typing import NamedTuple


class EngineLoad(NamedTuple):
    """An engine's queue, as of a few hundred ms before the report.

    ``reading`` requests were admitted and have not generated yet; ``next_tokens`` is
    the size of the first prompt in the queue.  ``leaving`` is true for an engine that
    will end.  ``born_ms`` is when the engine began, 0 if it does not say.
    """

    waiting: int
    reading: int
    generating: int
    next_tokens: int
    leaving: bool = False
    born_ms: int = 0

    @property
    def taken(self) -> int:
        """All requests that are there."""
        return self.waiting + self.reading + self.generating
