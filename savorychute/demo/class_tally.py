"""How the calls of one class ended."""

from __future__ import annotations


class ClassTally:
    """Counts of one class.

    ``unknown`` counts non-idempotent calls whose caller was told that they may
    have run and will not be run again; ``lost`` all other calls that were
    neither answered nor refused unrun; ``truncated`` answers that were passed
    off as whole and were not the whole answer to the caller's own request.
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
        """The share of calls answered within the class's targets."""
        return self.attained / self.calls if self.calls else 1.0
