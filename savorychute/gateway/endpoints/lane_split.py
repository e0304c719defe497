"""Keeps streams that must not pause away from long prompts."""

from __future__ import annotations

from math import ceil
from operator import attrgetter
from typing import TYPE_CHECKING

from savorychute.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.need import Need

# An event of several tokens waits for as many steps, and a step that reads a chunk of a
# long prompt takes about 100 ms: with a bound below this, one long prompt beside a
# stream makes it late.
STEADY_GAP_MS = 350
# Engine time for a token: read in a prompt, and generated beside others in a batch.
READ_MS = 1 / 60
GENERATED_MS = 0.1
# The part of shared prompts that is not found in the cache: one in three tokens of a day.
MISS_SHARE = 0.35
# Demand is averaged over about this time, so that the lanes follow a burst of one kind.
MEMORY_S = 8.0
# What is assumed before requests have shown it, in engine time: a part like that of the
# users' days.  Without it the first prompts of a day get homes that they lose as soon as
# the lanes are known, and are read twice.
FIRST_STEADY_MS = 450.0
FIRST_OTHER_MS = 2_550.0
# With less than this of one kind there is nothing to keep apart.
LEAST_SHARE = 0.02
# Instances differ in what they see.  Where the wanted size lies between two, steady
# streams take the smaller one and long prompts leave out the larger one: an engine that
# some instances count to one lane and some to the other would serve both badly.
MARGIN = 0.25

lane_key = attrgetter('lane_key')


class LaneSplit:
    """Divides engines into a steady lane and a lane for all else, by demand.

    Every instance sees a like mix of requests and ranks the engines by the same hash, so
    all arrive at about the same lanes without an exchange.
    """

    def __init__(self) -> None:
        self._steady_ms = FIRST_STEADY_MS
        self._other_ms = FIRST_OTHER_MS
        self._noted_ms: int | None = None

    def note(self, need: Need, now_ms: int) -> None:
        """Count the engine time that a request is expected to take.

        :param need: of the request.
        :param now_ms: the time.
        """
        self._fade(now_ms)
        prompt = need.prompt
        if prompt is None:
            return
        cached_tokens = (1.0 - MISS_SHARE) * prompt.shared_tokens
        work_ms = READ_MS * (prompt.tokens - cached_tokens)
        work_ms += GENERATED_MS * prompt.answer_tokens
        if is_steady(need):
            self._steady_ms += work_ms
        else:
            self._other_ms += work_ms

    def lane(
        self, records: Sequence[EndpointRecord], need: Need
    ) -> Sequence[EndpointRecord]:
        """Return the engines of a request's lane.

        :param records: all engines that it may use, at least one.
        :param need: of the request.
        """
        wanted = self._wanted(len(records))
        if wanted is None:
            return records
        ranked = sorted(records, key=lane_key, reverse=True)
        most = len(records) - 1
        if is_steady(need):
            return ranked[: min(max(round(wanted - MARGIN), 1), most)]
        return ranked[min(max(ceil(wanted - MARGIN), 1), most) :]

    def _wanted(self, engines: int) -> float | None:
        """Return the size of the steady lane, in engines; None for no lanes."""
        total_ms = self._steady_ms + self._other_ms
        share = self._steady_ms / total_ms
        if engines < 2 or not LEAST_SHARE <= share <= 1.0 - LEAST_SHARE:
            return None
        return engines * share

    def _fade(self, now_ms: int) -> None:
        if self._noted_ms is not None:
            elapsed_s = max(0, now_ms - self._noted_ms) / MS_PER_S
            kept = max(0.0, 1.0 - elapsed_s / MEMORY_S)
            self._steady_ms *= kept
            self._other_ms *= kept
        self._noted_ms = now_ms


def is_steady(need: Need) -> bool:
    """Return whether a request's events must not pause.

    :param need: of the request.
    """
    return 0 < need.gap_target_ms <= STEADY_GAP_MS
