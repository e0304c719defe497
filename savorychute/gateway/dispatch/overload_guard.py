"""Refuses in time what an engine could not serve in time."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.dispatch.rank_limits import LAST_TIER, LIMITS, is_last_tier
from savorychute.gateway.dispatch.recent_shares import RecentShares
from savorychute.gateway.dispatch.shortages import Shortages

if TYPE_CHECKING:
    import random

    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.need import Need


# An engine with fewer places is judged as if it had so many.  What slows answers is how
# many streams run beside the reading, not the places: small engines called full too early
# turn callers away on a calm day.
LEAST_PLACES = 24
# When callers come back, spread so that they do not come together.  A queue that is
# too long for one objective is gone after about as long.
FIRST_RETRY_MS = 800
LAST_RETRY_MS = 2_000
# The same where the time is known.
SPREAD_MS = 400
# Part of the recent share that is refused whatever the last report says.  It bounds the least
# urgent tier alone: a higher one is refused only where all of the lower one is.
RECENT_WEIGHT = 0.7
# What refused a request although no limit asks for it now.
RECENT_LIMIT = 'recent'
# The same for one that leaves room for a tier above.
TIER_ABOVE_LIMIT = 'tier-above'


class RefusedShares(NamedTuple):
    """The part of requests that each of a rank's limits asks to refuse."""

    places: float
    waiting: float
    wait: float


class OverloadGuard:
    """Compares the likeliest engine's load with what a request's rank may use.

    What cannot be in time only delays what can: under three times the capacity every
    engine read prompts for callers that had left, and a quarter of all requests was
    served.  Lower ranks are refused first, so that none waits for a lower one: a rank may
    wait as long as any below it, although its own objective be shorter.  With each bounded by
    its own, an urgent request with a short objective is refused where a less urgent one with a
    long objective is taken.

    Requests are refused more and more often as an engine fills, not all from one moment
    on: a report is half a second old when it is used, and all instances use it.  With a
    single limit all of them saw room at once, sent 20 to 40 requests to an engine that
    ends 10 a second, and nothing for the next three seconds.

    :param rng: decides by chance, and spreads the times at which callers come back.
    :param shortages: tiers that get nothing, for which the ones below are held back; none
        are known if left out.
    """

    def __init__(self, rng: random.Random, shortages: Shortages | None = None) -> None:
        self._rng = rng
        self._shortages = shortages or Shortages()
        # The longest objective that was seen of each rank.
        self._targets_ms = [0] * len(LIMITS)
        self._recent = RecentShares()

    def admits(self, choice: Choice, need: Need, now_ms: int) -> bool:
        """Return whether the request should be sent.

        :param choice: the best engine that is known.
        :param need: of the request.
        :param now_ms: the time.
        """
        if need.prompt is None:
            return True
        held = self._held_share(choice, need, now_ms)
        share = self._load_share(choice, need, now_ms) if choice.load_known else 0.0
        return self._rng.random() >= max(held, share)

    def _held_share(self, choice: Choice, need: Need, now_ms: int) -> float:
        service = choice.record.entry.service
        return self._shortages.held_share(service, need.rank, now_ms)

    def _load_share(self, choice: Choice, need: Need, now_ms: int) -> float:
        rank = min(need.rank, len(LIMITS) - 1)
        self._targets_ms[rank] = max(need.target_ms, self._targets_ms[rank])
        last_tier = [self._share_of(choice, need, each) for each in LAST_TIER]
        recent = self._recent.take(last_tier, now_ms)
        if rank in LAST_TIER:
            index = LAST_TIER.index(rank)
            return max(last_tier[index], RECENT_WEIGHT * recent[index])
        return self._share_of(choice, need, rank)

    def _share_of(self, choice: Choice, need: Need, rank: int) -> float:
        """Return the part of a rank's requests that engines' loads ask to refuse.

        Where a request of the last tier leaves its home, all engines that were asked
        count: under load the best of them is idle by chance, and by its report alone every
        instance would send it all that its own homes have no room for.  One above it is
        refused for no other engine than the one that it would get.
        """
        target_ms = self._target_ms(need, rank)
        compared = choice.compared if is_last_tier(rank) else ()
        return fmean(
            max(_refused_shares(each, rank, target_ms))
            for each in compared or (choice,)
        )

    def _target_ms(self, need: Need, rank: int) -> int:
        # Of a rank that has not been seen yet no objective is known.
        return max(self._targets_ms[rank:]) or need.target_ms or 1

    def binding_limit(self, choice: Choice, need: Need, now_ms: int) -> str:
        """Return which limit is the first to refuse a request, for logs.

        :param choice: of the request that was refused.
        :param need: of the request.
        :param now_ms: the time.
        """
        rank = min(need.rank, len(LIMITS) - 1)
        shares = _refused_shares(choice, rank, self._target_ms(need, rank))
        if self._held_share(choice, need, now_ms) > max(shares):
            return TIER_ABOVE_LIMIT
        if not any(shares):
            return RECENT_LIMIT
        return shares._fields[shares.index(max(shares))]

    def retry_after_ms(self, wait_ms: int = 0) -> int:
        """Return when a refused caller should come back.

        :param wait_ms: how long it takes until an endpoint takes requests again; 0 if
            that is not known.
        """
        if wait_ms:
            return wait_ms + self._rng.randint(0, SPREAD_MS)
        return self._rng.randint(FIRST_RETRY_MS, LAST_RETRY_MS)


def _refused_shares(choice: Choice, rank: int, target_ms: int) -> RefusedShares:
    """Return the part of a rank's requests that an engine's load asks to refuse.

    Only what a request cannot pass counts.  Where all that waits does, the least urgent
    prompts at an engine refuse every request that would be read before them.
    """
    limits = LIMITS[rank]
    load = choice.record.load
    if load is None:
        return RefusedShares(0.0, 0.0, 0.0)
    places = max(choice.record.entry.slots, LEAST_PLACES)
    return RefusedShares(
        limits.places_share.refused_share(load.taken_ahead(rank) / places),
        limits.waiting.refused_share(load.waiting_ahead(rank) + load.reading),
        limits.wait_share.refused_share(choice.wait_ms / target_ms),
    )
