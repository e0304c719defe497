"""Refuses requests that engines could not serve in time."""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from savorychute.gateway.admission.room_forecast import draw_retry_ms
from savorychute.gateway.dispatch.rank_limits import (
    LAST_TIER_RANKS,
    LIMITS,
    MIN_SLOTS,
    is_last_tier,
)
from savorychute.gateway.dispatch.recent_shares import RecentShares
from savorychute.gateway.dispatch.shortages import Shortages

if TYPE_CHECKING:
    import random

    from savorychute.gateway.admission.competition import Competition
    from savorychute.gateway.admission.room_forecast import Room
    from savorychute.gateway.dispatch.chooser import Choice
    from savorychute.gateway.dispatch.request_requirements import RequestRequirements


# Range of the delay after which refused callers retry, randomised so that they do not
# retry together, where it is not known when an engine has room.  A queue that is too
# long for an objective drains in about this time.
MIN_RETRY_DELAY_MS = 800
MAX_RETRY_DELAY_MS = 2_000
# Random addition to the delay where the time until an endpoint is available is known.
RETRY_SPREAD_MS = 400
# Weight of the recently refused share, which counts whatever the last report shows.  It
# applies to the least urgent tier only: a higher tier is refused only where all of the
# lower one is.
RECENT_WEIGHT = 0.7
# Reported for a request that is refused although its limits currently admit it.
RECENT_LIMIT = 'recent'
# Reported for a request that is shed in favour of a higher tier.
TIER_ABOVE_LIMIT = 'tier-above'
# Reported for a request that is shed before higher tiers use all slots.
SLOTS_ABOVE_LIMIT = 'slots-above'
# Reported for a request that no engine is expected to answer before its deadline.
DEADLINE_LIMIT = 'deadline'


class RefusedShares(NamedTuple):
    """Share of requests that each limit of a rank requires to be refused."""

    places: float
    waiting: float
    wait: float


class OverloadGuard:
    """Compares the load of the chosen engine with the limits of a request's rank.

    Requests that cannot be served in time only delay others: at three times the
    capacity all engines prefilled prompts of callers that had left, and a quarter of
    the requests was served.  Lower ranks are refused first.  A rank may wait as long as
    any rank below it, even if its own objective is shorter: if each rank were limited
    by its own objective, an urgent request with a short objective would be refused
    while a less urgent one with a long objective is admitted.

    The share of refused requests grows gradually as an engine fills, because reports
    are half a second old when they are used, and all instances use them.  With a single
    threshold all instances saw capacity at once, sent 20 to 40 requests to an engine
    that completes 10 per second, and then none for three seconds.

    :param rng: draws which requests are refused, and the delays of retries.
    :param shortages: tiers that are not served and for which lower tiers are shed; none
        are known if omitted.
    :param competition: rules for requests that compete; load limits alone apply if
        omitted.
    """

    def __init__(
        self,
        rng: random.Random,
        shortages: Shortages | None = None,
        competition: Competition | None = None,
    ) -> None:
        self._rng = rng
        self.competition = competition
        self._shortages = shortages or Shortages()
        # The longest objective observed for each rank.
        self._targets_ms = [0] * len(LIMITS)
        self._recent = RecentShares()

    def admits(
        self,
        choice: Choice,
        requirements: RequestRequirements,
        now_ms: int,
        draw: float | None = None,
    ) -> bool:
        """Return whether a request should be sent.

        :param choice: the best known engine.
        :param requirements: requirements of the request.
        :param now_ms: the current time.
        :param draw: a number from 0 to 1 that decides for several engines alike; drawn
            anew if omitted.
        """
        if requirements.prompt is None:
            return True
        refused_shares = [
            self._shortage_share(choice, requirements, now_ms),
            choice.urgent_usage.shed_share(),
        ]
        if choice.load_known:
            refused_shares.append(self._load_share(choice, requirements, now_ms))
        share = max(refused_shares)
        if self.competition is not None:
            service = choice.record.entry.service
            share = self.competition.refused_share(service, requirements, share, now_ms)
        return (self._rng.random() if draw is None else draw) >= share

    def _shortage_share(
        self, choice: Choice, requirements: RequestRequirements, now_ms: int
    ) -> float:
        service = choice.record.entry.service
        return self._shortages.shed_share(service, requirements.rank, now_ms)

    def _load_share(
        self, choice: Choice, requirements: RequestRequirements, now_ms: int
    ) -> float:
        rank = min(requirements.rank, len(LIMITS) - 1)
        self._targets_ms[rank] = max(requirements.target_ms, self._targets_ms[rank])
        last_tier_shares = [
            self._refused_share(choice, requirements, each) for each in LAST_TIER_RANKS
        ]
        recent_shares = self._recent.update(last_tier_shares, now_ms)
        if rank in LAST_TIER_RANKS:
            index = LAST_TIER_RANKS.index(rank)
            return max(last_tier_shares[index], RECENT_WEIGHT * recent_shares[index])
        return self._refused_share(choice, requirements, rank)

    def _refused_share(
        self, choice: Choice, requirements: RequestRequirements, rank: int
    ) -> float:
        """Return the share of a rank's requests to refuse because of engine load.

        If a request of the last tier leaves its home, all engines with a recent report
        are averaged: under load the best of them is idle by chance, and by its report
        alone all instances would send it the requests for which their homes have no
        capacity.  A request of a higher tier is refused only because of the engine that
        it would get.
        """
        target_ms = self._target_ms(requirements, rank)
        compared = choice.compared if is_last_tier(rank) else ()
        return fmean(
            max(_refused_shares(each, rank, target_ms))
            for each in compared or (choice,)
        )

    def _target_ms(self, requirements: RequestRequirements, rank: int) -> int:
        # There may be no objective yet for this rank and those below it.
        return max(self._targets_ms[rank:]) or requirements.target_ms or 1

    def binding_limit(
        self, choice: Choice, requirements: RequestRequirements, now_ms: int
    ) -> str:
        """Return which limit refuses the largest share of such requests, for logs.

        :param choice: the choice for the request that was refused.
        :param requirements: requirements of the request.
        :param now_ms: the current time.
        """
        rank = min(requirements.rank, len(LIMITS) - 1)
        shares = _refused_shares(choice, rank, self._target_ms(requirements, rank))
        tier_share = self._shortage_share(choice, requirements, now_ms)
        slots_share = choice.urgent_usage.shed_share()
        if max(tier_share, slots_share) > max(shares):
            return TIER_ABOVE_LIMIT if tier_share >= slots_share else SLOTS_ABOVE_LIMIT
        if not any(shares):
            return RECENT_LIMIT
        return shares._fields[shares.index(max(shares))]

    def retry_after_ms(self, wait_ms: int = 0, room: Room | None = None) -> int:
        """Return the delay after which a refused caller should retry, in ms.

        :param wait_ms: time until an endpoint accepts requests again; 0 if unknown.
        :param room: when an engine is expected to have room; None if unknown.
        """
        if wait_ms:
            return wait_ms + self._rng.randint(0, RETRY_SPREAD_MS)
        if room is not None:
            return draw_retry_ms(room, self._rng)
        return self._rng.randint(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)


def _refused_shares(choice: Choice, rank: int, target_ms: int) -> RefusedShares:
    """Return the shares of a rank's requests to refuse because of an engine's load.

    Only requests that a request of this rank cannot pass count.  If all waiting
    requests counted, the least urgent prompts at an engine would cause the refusal of
    every request that is prefilled before them.
    """
    limits = LIMITS[rank]
    load = choice.record.load
    if load is None:
        return RefusedShares(0.0, 0.0, 0.0)
    slots = max(choice.record.entry.slots, MIN_SLOTS)
    return RefusedShares(
        limits.places_share.refused_share(load.requests_ahead(rank) / slots),
        limits.waiting.refused_share(load.waiting_ahead(rank) + load.prefilling),
        limits.wait_share.refused_share(choice.wait_ms / target_ms),
    )
