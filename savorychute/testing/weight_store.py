"""A stand-in for the rate-limited weight store."""

from __future__ import annotations


class WeightStore:
    """Serves model loads one after the other.

    :param load_ms: the duration of one load.
    """

    def __init__(self, load_ms: float = 2_000.0) -> None:
        self.load_ms = load_ms
        self.loads = 0
        self._free_ms = 0.0

    def fetch(self, now_ms: float) -> float:
        """Start a load and return its end time."""
        self.loads += 1
        self._free_ms = max(self._free_ms, now_ms) + self.load_ms
        return self._free_ms
