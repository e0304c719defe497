"""Engine time that the requests with one shared prompt need."""

from __future__ import annotations

from math import exp

# Decay time of the demand for a prompt.  A prompt that is no longer requested loses its
# further homes within some seconds; with a shorter time an instance that gets two
# requests per second would take chance for demand.
DECAY_MS = 6_000
# Number of prompts whose demand is kept, the most recently requested ones.
MAX_PROMPTS = 512


class PromptDemand:
    """Decaying sums of engine time by shared prompt, of this instance's requests."""

    def __init__(self) -> None:
        # Sum and time of the last request by prompt, the most recent one last.
        self._sums: dict[str, tuple[float, int]] = {}

    def add(self, affinity: str, work_ms: float, now_ms: int) -> None:
        """Add the engine time of one request.

        :param affinity: identifies the shared prompt.
        :param work_ms: engine time that the request takes where the prompt is cached.
        :param now_ms: the current time.
        """
        total_ms = self._remaining_ms(affinity, now_ms) + work_ms
        self._sums.pop(affinity, None)
        self._sums[affinity] = (total_ms, now_ms)
        if len(self._sums) > MAX_PROMPTS:
            del self._sums[next(iter(self._sums))]

    def engines(self, affinity: str, now_ms: int, instances: int) -> float:
        """Return how many engines the demand for a prompt keeps busy.

        :param affinity: identifies the shared prompt.
        :param now_ms: the current time.
        :param instances: number of instances, which are assumed to get as many requests
            as this one.
        """
        return instances * self._remaining_ms(affinity, now_ms) / DECAY_MS

    def _remaining_ms(self, affinity: str, now_ms: int) -> float:
        total_ms, added_ms = self._sums.get(affinity, (0.0, now_ms))
        return total_ms * exp(-max(0, now_ms - added_ms) / DECAY_MS)
