"""The endpoint that is likely to begin a prompt first."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

from savorychute.gateway.endpoints.chooser import CHOOSERS, Choice

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.endpoints.endpoint_record import EndpointRecord
    from savorychute.gateway.requests.prompt import Prompt

# Prompt tokens that an engine reads in a millisecond: the users' engines read 61 and 93.
TOKENS_PER_MS = 60.0
# What one more request adds to each step of the batch, until an answer of usual
# length is out.
PLACE_MS = 6.0
# This instance sees only its own requests; others send about as many.
OTHERS_FACTOR = 2.0
DISTANCE_MS = 4.0
FAILURE_MS = 2_000.0
# A part that this instance sent somewhere is taken for cached there that long.
CACHED_MS = 30_000
PARTS_KEPT = 4_096


@CHOOSERS.register('prompt-cache')
class PromptCacheChooser:
    """Predicts the wait for the first token.

    All instances rank the endpoints for a shared prompt by the same hash, so they send
    it to the same few without a word between them, and it is read once.  The prediction
    moves a request elsewhere when the queue there costs more than reading it anew.

    :param failure_domain: of this instance.
    :param rng: breaks ties.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._sent: OrderedDict[tuple[str, str], int] = OrderedDict()

    def choose(
        self, records: Sequence[EndpointRecord], prompt: Prompt | None, now_ms: int
    ) -> Choice:
        """Return the endpoint with the least predicted wait."""
        affinity = prompt.affinity if prompt is not None else ''
        home = (
            max(records, key=lambda each: _rank(affinity, each)) if affinity else None
        )
        best: Choice | None = None
        for record in records:
            fresh_tokens = 0
            if prompt is not None:
                cached = record is home or self._has(record, affinity, now_ms)
                fresh_tokens = prompt.tokens - (prompt.shared_tokens if cached else 0)
            cost_ms = self._predict(record, fresh_tokens)
            if best is None or cost_ms < best.cost_ms:
                best = Choice(record, fresh_tokens, cost_ms)
        assert best is not None
        if affinity:
            self._note(best.record, affinity, now_ms)
        return best

    def _predict(self, record: EndpointRecord, fresh_tokens: int) -> float:
        reading = OTHERS_FACTOR * record.prefill_tokens + fresh_tokens
        cost_ms = reading / TOKENS_PER_MS
        cost_ms += OTHERS_FACTOR * PLACE_MS * record.outstanding
        cost_ms += FAILURE_MS * record.health.failure_share
        if record.entry.failure_domain != self._failure_domain:
            cost_ms += DISTANCE_MS
        return cost_ms + self._rng.random()

    def _has(self, record: EndpointRecord, affinity: str, now_ms: int) -> bool:
        sent_ms = self._sent.get((record.entry.endpoint, affinity))
        return sent_ms is not None and now_ms - sent_ms < CACHED_MS

    def _note(self, record: EndpointRecord, affinity: str, now_ms: int) -> None:
        key = (record.entry.endpoint, affinity)
        self._sent[key] = now_ms
        self._sent.move_to_end(key)
        if len(self._sent) > PARTS_KEPT:
            self._sent.popitem(last=False)


def _rank(affinity: str, record: EndpointRecord) -> int:
    seed = f'{affinity}/{record.entry.endpoint}'
    return int(xxhash.xxh3_64_intdigest(seed.encode()))
