"""Refuses in time what an engine could not serve in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.need import Need

# Part of an engine's places that requests of a rank may take together with all others.
# Ranks go by the route's tier, three of them for each, and by the organisation's inside it.
# An engine that always reads a prompt beside its streams lets each token wait for a
# chunk, about 90 ms, and answers of 120 tokens pass their deadlines; with half of the
# places taken it finishes about as many requests a second, and nearly all in time.
PLACES_SHARE = (1.5, 1.1, 0.95, 0.9, 0.75, 0.75, 0.7, 0.6, 0.55)
# An engine with fewer places is judged as if it had so many.  What slows answers is how
# many streams run beside the reading, not the places.  With engines of 12 places called full at
# seven, 0.046 of a calm day's requests were refused; with this and learned waits 0.008.
LEAST_PLACES = 24
# Requests that may wait at an engine for its prompts to be read.  While any waits, every
# step reads a chunk and each token takes about 80 ms; a short queue leaves steps between.
MOST_WAITING = (64, 16, 12, 12, 8, 8, 6, 5, 4)
# Part of the objective that a request may be expected to wait.  The most urgent goes
# ahead of the queue, and is worth an attempt also when it will be late.
WAIT_SHARE = (3.0, 1.5, 1.2, 1.2, 1.0, 1.0, 1.0, 0.9, 0.8)
# When callers come back, spread so that they do not come together.  A queue that is
# too long for one objective is gone after about as long.
FIRST_RETRY_MS = 800
LAST_RETRY_MS = 2_000


class OverloadGuard:
    """Compares the likeliest engine's load with what a request's rank may use.

    What cannot be in time only delays what can: under three times the capacity every
    engine read prompts for callers that had left, and a quarter of all requests was
    served.  Lower ranks are refused first, so that none waits for a lower one: a rank may
    wait as long as any below it, although its own objective be shorter.  With each bounded by
    its own, one note in 30 of a day, due within 400 ms, was refused after a loss of power,
    where summaries due within 1,200 ms were taken.

    :param rng: spreads the times at which callers come back.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # The longest wait that was granted to each rank.
        self._waits_ms = [0.0] * len(PLACES_SHARE)

    def admits(self, choice: Choice, need: Need) -> bool:
        """Return whether the request should be sent.

        :param choice: the best engine that is known.
        :param need: of the request.
        """
        load = choice.record.load
        if need.prompt is None or load is None or not choice.load_known:
            return True
        rank = min(need.rank, len(PLACES_SHARE) - 1)
        places = max(choice.record.entry.slots, LEAST_PLACES)
        if load.taken > PLACES_SHARE[rank] * places:
            return False
        if load.waiting + load.reading > MOST_WAITING[rank]:
            return False
        return choice.wait_ms <= self._longest_wait_ms(rank, need.target_ms)

    def _longest_wait_ms(self, rank: int, target_ms: int) -> float:
        """Return how long a request of a rank may wait, and remember it for others."""
        wait_ms = WAIT_SHARE[rank] * target_ms
        self._waits_ms[rank] = max(wait_ms, self._waits_ms[rank])
        return max(self._waits_ms[rank:])

    def retry_after_ms(self) -> int:
        """Return when a refused caller should come back."""
        return self._rng.randint(FIRST_RETRY_MS, LAST_RETRY_MS)
