"""Refuses in time what an engine could not serve in time."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.need import Need


class Ramp(NamedTuple):
    """From where on some requests are refused, and from where on all are."""

    first: float
    last: float

    def refused_share(self, value: float) -> float:
        """Return the part of requests to refuse, from 0 to 1.

        :param value: what the ramp bounds.
        """
        return min(1.0, max(0.0, (value - self.first) / (self.last - self.first)))


class RankLimits(NamedTuple):
    """What requests of a rank may add to.

    ``places_share`` is the part of an engine's places that are taken, ``waiting`` how many
    requests wait there for their prompts to be read, ``wait_share`` the expected wait as
    a part of the objective.
    """

    places_share: Ramp
    waiting: Ramp
    wait_share: Ramp


# Ranks go by the route's tier, three of them for each, and by the organisation's inside it.
# An engine that always reads a prompt beside its streams lets each token wait for a
# chunk, about 90 ms, and answers of 120 tokens pass their deadlines; with half of the
# places taken it finishes about as many requests a second, and nearly all in time.  The
# same holds for a long queue of prompts.  A tier's ramps end where those of the tier above
# begin, so that all of the lower one is turned away before any of the higher one.
LIMITS = (
    RankLimits(Ramp(1.3, 1.7), Ramp(24, 64), Ramp(2.0, 4.0)),
    RankLimits(Ramp(1.1, 1.5), Ramp(18, 40), Ramp(1.5, 2.5)),
    RankLimits(Ramp(1.0, 1.3), Ramp(14, 30), Ramp(1.4, 2.0)),
    RankLimits(Ramp(0.9, 1.1), Ramp(10, 18), Ramp(1.3, 1.6)),
    RankLimits(Ramp(0.9, 1.05), Ramp(9, 16), Ramp(1.3, 1.5)),
    RankLimits(Ramp(0.9, 1.0), Ramp(9, 14), Ramp(1.3, 1.4)),
    RankLimits(Ramp(0.5, 0.9), Ramp(2, 9), Ramp(0.6, 1.3)),
    RankLimits(Ramp(0.5, 0.85), Ramp(2, 8), Ramp(0.5, 1.2)),
    RankLimits(Ramp(0.5, 0.8), Ramp(1, 7), Ramp(0.4, 1.1)),
)
# An engine with fewer places is judged as if it had so many.  What slows answers is how
# many streams run beside the reading, not the places.  With engines of 12 places called full at
# seven, 0.046 of a calm day's requests were refused; with this and learned waits 0.008.
LEAST_PLACES = 24
# When callers come back, spread so that they do not come together.  A queue that is
# too long for one objective is gone after about as long.
FIRST_RETRY_MS = 800
LAST_RETRY_MS = 2_000


# How long what was seen of engines counts, and the weight of one look at them.
RECENT_MS = 2_000
LOOK_WEIGHT = 0.15
# Part of the recent share that is refused whatever the last report says.
RECENT_WEIGHT = 0.7


class RecentShares:
    """The shares that loads asked to refuse lately, by rank.

    All are told at each look, so that no rank's is above that of a lower one.
    """

    def __init__(self) -> None:
        self._shares = [0.0] * len(LIMITS)
        self._noted_ms: int | None = None

    def take(self, shares: Sequence[float], now_ms: int) -> list[float]:
        """Take in what was seen, and return what was seen lately.

        :param shares: by rank.
        :param now_ms: the time.
        """
        elapsed_ms = now_ms - self._noted_ms if self._noted_ms is not None else 0
        self._noted_ms = now_ms
        kept = max(0.0, 1.0 - elapsed_ms / RECENT_MS)
        self._shares = [
            kept * recent + LOOK_WEIGHT * (share - kept * recent)
            for recent, share in zip(self._shares, shares, strict=True)
        ]
        return self._shares


class OverloadGuard:
    """Compares the likeliest engine's load with what a request's rank may use.

    What cannot be in time only delays what can: under three times the capacity every
    engine read prompts for callers that had left, and a quarter of all requests was
    served.  Lower ranks are refused first, so that none waits for a lower one: a rank may
    wait as long as any below it, although its own objective be shorter.  With each bounded by
    its own, one note in 30 of a day, due within 400 ms, was refused after a loss of power,
    where summaries due within 1,200 ms were taken.

    Requests are refused more and more often as an engine fills, not all from one moment
    on: a report is half a second old when it is used, and all instances use it.  With a
    single limit all of them saw room at once, sent 20 to 40 requests to an engine that
    ends 10 a second, and nothing for the next three seconds.

    :param rng: decides by chance, and spreads the times at which callers come back.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # The longest objective that was seen of each rank.
        self._targets_ms = [0] * len(LIMITS)
        self._recent = RecentShares()

    def admits(self, choice: Choice, need: Need, now_ms: int) -> bool:
        """Return whether the request should be sent.

        :param choice: the best engine that is known.
        :param need: of the request.
        :param now_ms: the time.
        """
        if need.prompt is None or not choice.load_known:
            return True
        rank = min(need.rank, len(LIMITS) - 1)
        self._targets_ms[rank] = max(need.target_ms, self._targets_ms[rank])
        shares = [
            self._refused_share(choice, each_rank) for each_rank in range(len(LIMITS))
        ]
        recent = self._recent.take(shares, now_ms)[rank]
        share = max(shares[rank], RECENT_WEIGHT * recent)
        return self._rng.random() >= share

    def _refused_share(self, choice: Choice, rank: int) -> float:
        """Return the part of a rank's requests that engines' loads ask to refuse."""
        target_ms = max(1, *self._targets_ms[rank:])
        return fmean(
            _refused_share(each, LIMITS[rank], target_ms)
            for each in choice.compared or (choice,)
        )

    def retry_after_ms(self) -> int:
        """Return when a refused caller should come back."""
        return self._rng.randint(FIRST_RETRY_MS, LAST_RETRY_MS)


def _refused_share(choice: Choice, limits: RankLimits, target_ms: int) -> float:
    """Return the part of requests that an engine's load asks to refuse."""
    load = choice.record.load
    if load is None:
        return 0.0
    places = max(choice.record.entry.slots, LEAST_PLACES)
    return max(
        limits.places_share.refused_share(load.taken / places),
        limits.waiting.refused_share(load.waiting + load.reading),
        limits.wait_share.refused_share(choice.wait_ms / target_ms),
    )
