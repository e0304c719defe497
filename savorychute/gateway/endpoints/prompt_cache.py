"""The endpoint that is likely to begin a prompt first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.gateway.endpoints.chooser import CHOOSERS, Choice
from savorychute.gateway.endpoints.lane_split import LaneSplit

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.endpoints.need import Need

# Prompt tokens that an engine reads in a millisecond: the users' engines read 61 and 93.
TOKENS_PER_MS = 60.0
# What one more request adds to each step of the batch, until an answer of usual
# length is out.
PLACE_MS = 6.0
# This instance sees only its own requests; others send about as many.
OTHERS_FACTOR = 2.0
DISTANCE_MS = 4.0
FAILURE_MS = 2_000.0
# Reading a cached prompt elsewhere also delays every request there, and the users price
# 13,000 tokens read again like a whole answer; so the queue at home must be that
# many times as long as the reading.
AGAIN_WEIGHT = 5.0
# Where a prompt goes when its home is full: to the next in the ranking, for all
# instances alike.
RANK_MS = 20.0


@CHOOSERS.register('prompt-cache')
class PromptCacheChooser:
    """Predicts the wait for the first token.

    All instances rank the endpoints for a shared prompt by the same hash, so they send
    it to the same one without a word between them, and it is read once.  The prediction
    moves a request down the ranking when the queue there costs more than reading anew.

    :param failure_domain: of this instance.
    :param rng: breaks ties.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._lanes = LaneSplit()

    def choose(
        self, records: Sequence[EndpointRecord], need: Need, now_ms: int
    ) -> Choice:
        """Return the endpoint with the least predicted wait."""
        self._lanes.note(need, now_ms)
        lane = self._lanes.lane(records, need)
        prompt = need.prompt
        if prompt is None or not prompt.affinity:
            tokens = prompt.tokens if prompt is not None else 0
            return self._best([(record, tokens, 0.0) for record in lane])
        ranked = sorted(
            lane, key=lambda each: _rank(prompt.affinity, each), reverse=True
        )
        again_ms = AGAIN_WEIGHT * prompt.shared_tokens / TOKENS_PER_MS
        candidates = []
        for rank, record in enumerate(ranked):
            fresh_tokens = (
                prompt.tokens if rank else prompt.tokens - prompt.shared_tokens
            )
            extra_ms = again_ms + RANK_MS * rank if rank else 0.0
            candidates.append((record, fresh_tokens, extra_ms))
        return self._best(candidates)

    def _best(self, candidates: list[tuple[EndpointRecord, int, float]]) -> Choice:
        choices = [
            Choice(record, tokens, self._predict(record, tokens) + extra_ms)
            for record, tokens, extra_ms in candidates
        ]
        return min(choices, key=lambda choice: choice.cost_ms)

    def _predict(self, record: EndpointRecord, fresh_tokens: int) -> float:
        reading = OTHERS_FACTOR * record.prefill_tokens + fresh_tokens
        cost_ms = reading / TOKENS_PER_MS
        cost_ms += OTHERS_FACTOR * PLACE_MS * record.outstanding
        cost_ms += FAILURE_MS * record.health.failure_share
        if record.entry.failure_domain != self._failure_domain:
            cost_ms += DISTANCE_MS
        return cost_ms + self._rng.random()


def _rank(affinity: str, record: EndpointRecord) -> int:
    seed = f'{affinity}/{record.entry.endpoint}'
    return int(xxhash.xxh3_64_intdigest(seed.encode()))
