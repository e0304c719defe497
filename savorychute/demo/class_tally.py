"""Counts of the outcomes of one class's calls."""

from __future__ import annotations


class ClassTally:
    """Counts of the outcomes of one class's calls.

    ``unknown`` counts non-idempotent calls that were reported to the caller as possibly
    run and not retried; ``lost`` counts all other calls that were neither answered nor
    refused without having run; ``truncated`` counts responses that ended as complete
    but were not the complete response to the caller's own request.
    """

    def __init__(self, tier: int, weight: float) -> None:
        self.tier = tier
        self.weight = weight
        self.calls = 0
        self.answered = 0
        self.attained = 0
        self.refused = 0
        self.unknown = 0
        self.lost = 0
        self.truncated = 0
        self.answered_tokens = 0

    @property
    def attainment(self) -> float:
        """The share of calls answered within the targets of the class."""
        return self.attained / self.calls if self.calls else 1.0
