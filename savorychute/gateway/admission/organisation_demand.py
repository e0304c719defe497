"""Demand of organisations over all instances, and their fair shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from savorychute.clock import MS_PER_S
from savorychute.gateway.admission.fair_shares import Demand, refused_shares
from savorychute.gateway.dispatch.decaying_sum import DecayingSum
from savorychute.gateway.requests.rank import tier_of
from savorychute.membership.told_demand import ToldDemand

if TYPE_CHECKING:
    from collections.abc import Iterable

# A demand is known by a number: 16 bits for its service and tier, 32 for the
# organisation; 0 stands for all organisations.
ORGANISATION_BITS = 32
GROUP_BITS = 16
ALL = 0
# Time over which an instance counts its own demand.
OWN_DECAY_S = 2.0
# Weight of this instance's own demand in its estimate after a second, and of an estimate
# that another instance tells.  Estimates converge to the mean of all instances; what an
# instance contributed leaves them within seconds of its loss.
OWN_WEIGHT = 0.6
TOLD_WEIGHT = 0.3
# The usual demand changes by half in about this time, so that a surge of some seconds
# hardly moves it.  In the first seconds of an instance it follows what others tell, or
# the first demand if no instance knows better.
USUAL_DECAY_S = 20.0
MAX_GROWTH = 2.0
MIN_GROWTH = 0.2
LEARNING_MS = 4_000
LEARNING_DECAY_S = 1.0
# A smaller usual demand, as a share of the mean, counts as this one: an organisation that
# has sent nothing for a while may send something.
MIN_USUAL_SHARE = 0.25
# How many demands an instance tells with each probe, the largest, and how many it keeps.
MAX_TOLD = 16
MAX_KEYS = 256
# A larger told rate counts as this one.
MAX_RATE_PER_S = 10_000.0
RATE_UNITS = 1_000
# Estimates below this are forgotten, in requests a second.
MIN_RATE_PER_S = 0.002
# Fair shares, and the demands to tell, are computed at most this often.
SHARES_MS = 500


class _Estimate:
    """Demand for one key, in requests a second and instance."""

    __slots__ = ('own', 'rate', 'updated_ms', 'usual')

    def __init__(self, now_ms: int) -> None:
        self.own = DecayingSum(OWN_DECAY_S)
        self.rate = 0.0
        self.usual = 0.0
        self.updated_ms = now_ms

    def update(self, now_ms: int, learning: bool) -> None:
        """Move the estimate towards the own demand, and the usual one towards it."""
        elapsed_s = max(0, now_ms - self.updated_ms) / MS_PER_S
        self.updated_ms = now_ms
        own = self.own.value(now_ms) / OWN_DECAY_S
        self.rate += min(1.0, OWN_WEIGHT * elapsed_s) * (own - self.rate)
        decay_s = LEARNING_DECAY_S if learning else USUAL_DECAY_S
        target = self.rate
        if not learning:
            target = min(target, max(MAX_GROWTH * self.usual, MIN_GROWTH * target))
        self.usual += min(1.0, elapsed_s / decay_s) * (target - self.usual)

    def merge(self, rate: float, usual: float) -> None:
        """Move the estimate towards that of another instance."""
        self.rate += TOLD_WEIGHT * (rate - self.rate)
        if usual:
            self.usual += TOLD_WEIGHT * (usual - self.usual) if self.usual else usual


class OrganisationDemand:
    """Estimates the demand of organisations by service and tier.

    Each instance counts its own requests, and tells its estimate of the mean of all
    instances with each probe.  An estimate moves towards the own count and towards those
    that others tell, so it converges to the mean without an instance that collects.

    :param started_ms: the time at the start of the instance.
    """

    def __init__(self, started_ms: int | None = None) -> None:
        self._started_ms = started_ms
        self._estimates: dict[int, _Estimate] = {}
        self._shares: dict[int, tuple[int, float, dict[int, float]]] = {}
        self._told: tuple[ToldDemand, ...] = ()
        self._told_ms: int | None = None

    def record_request(
        self, service: str, rank: int, organisation: str, now_ms: int
    ) -> None:
        """Count a request.

        :param service: the service that it is for.
        :param rank: its urgency.
        :param organisation: the organisation of its caller.
        :param now_ms: the current time.
        """
        group = group_of(service, rank)
        for key in (group, key_of(group, organisation)):
            estimate = self._estimates.get(key)
            if estimate is None:
                estimate = self._add(key, now_ms)
            estimate.own.add(1.0, now_ms)
            estimate.update(now_ms, self._is_learning(now_ms))

    def announcements(self, now_ms: int) -> tuple[ToldDemand, ...]:
        """Return the largest demands, to tell other instances.

        :param now_ms: the current time.
        """
        if self._told_ms is None or now_ms - self._told_ms >= SHARES_MS:
            self._told_ms = now_ms
            self._told = self._select_largest(now_ms)
        return self._told

    def _select_largest(self, now_ms: int) -> tuple[ToldDemand, ...]:
        learning = self._is_learning(now_ms)
        for key, estimate in list(self._estimates.items()):
            estimate.update(now_ms, learning)
            if max(estimate.rate, estimate.usual) < MIN_RATE_PER_S:
                del self._estimates[key]
        largest = sorted(
            self._estimates.items(), key=lambda item: item[1].rate, reverse=True
        )
        return tuple(
            ToldDemand(
                key,
                round(RATE_UNITS * estimate.rate),
                round(RATE_UNITS * estimate.usual),
            )
            for key, estimate in largest[:MAX_TOLD]
        )

    def record_reported(self, demands: Iterable[ToldDemand], now_ms: int) -> None:
        """Record the demands that another instance tells.

        :param demands: its estimates.
        :param now_ms: the current time.
        """
        for key, rate, usual in demands:
            if not 0 <= key < 1 << (ORGANISATION_BITS + GROUP_BITS):
                continue
            estimate = self._estimates.get(key)
            if estimate is None:
                if len(self._estimates) >= MAX_KEYS:
                    continue
                estimate = self._add(key, now_ms)
            estimate.merge(_read_rate(rate), _read_rate(usual))

    def refused_share(
        self, service: str, rank: int, organisation: str, share: float, now_ms: int
    ) -> float:
        """Return the share of an organisation's requests to refuse.

        :param service: the service that they are for.
        :param rank: their urgency.
        :param organisation: the organisation.
        :param share: the share of the requests of all organisations to refuse.
        :param now_ms: the current time.
        """
        if not 0.0 < share < 1.0:
            return share
        group = group_of(service, rank)
        shares = self._refused_shares(group, share, now_ms)
        return shares.get(key_of(group, organisation), shares[ALL])

    def surplus(self, service: str, rank: int, organisation: str) -> float:
        """Return the demand of an organisation as a multiple of its usual one.

        :param service: the service that it is for.
        :param rank: rank of a request of the tier.
        :param organisation: the organisation.
        """
        estimate = self._estimates.get(key_of(group_of(service, rank), organisation))
        if estimate is None or not estimate.usual:
            return 1.0
        return estimate.rate / estimate.usual

    def _refused_shares(
        self, group: int, share: float, now_ms: int
    ) -> dict[int, float]:
        computed = self._shares.get(group)
        if (
            computed is not None
            and now_ms - computed[0] < SHARES_MS
            and abs(computed[1] - share) < 0.01
        ):
            return computed[2]
        shares = refused_shares(self._demands(group, now_ms), share)
        self._shares[group] = (now_ms, share, shares)
        return shares

    def _demands(self, group: int, now_ms: int) -> list[Demand]:
        """Return the demands of a group; that of the others together has key 0."""
        learning = self._is_learning(now_ms)
        members = []
        for key, estimate in self._estimates.items():
            if key >> ORGANISATION_BITS == group >> ORGANISATION_BITS:
                estimate.update(now_ms, learning)
                members.append((key, estimate))
        total = next((each.rate for key, each in members if key == group), 0.0)
        named = [(key, each) for key, each in members if key != group]
        mean_usual = sum(each.usual for _, each in named) / max(1, len(named))
        demands = [
            Demand(key, each.rate, max(each.usual, MIN_USUAL_SHARE * mean_usual))
            for key, each in named
        ]
        others = max(0.0, total - sum(each.rate for each in demands))
        return [*demands, Demand(ALL, others, others)]

    def _add(self, key: int, now_ms: int) -> _Estimate:
        if self._started_ms is None:
            self._started_ms = now_ms
        if len(self._estimates) >= MAX_KEYS:
            smallest = min(self._estimates, key=lambda each: self._estimates[each].rate)
            del self._estimates[smallest]
        estimate = self._estimates[key] = _Estimate(now_ms)
        return estimate

    def _is_learning(self, now_ms: int) -> bool:
        started_ms = self._started_ms
        return started_ms is None or now_ms - started_ms < LEARNING_MS


def group_of(service: str, rank: int) -> int:
    """Return the key of all organisations' demand for a tier of a service.

    :param service: the service.
    :param rank: rank of a request of the tier.
    """
    digest = int(xxhash.xxh3_64_intdigest(f'{service}\0{tier_of(rank)}'.encode()))
    return digest % (1 << GROUP_BITS) << ORGANISATION_BITS


def key_of(group: int, organisation: str) -> int:
    """Return the key of an organisation's demand.

    :param group: the key of all organisations' demand.
    :param organisation: the organisation.
    """
    digest = int(xxhash.xxh3_64_intdigest(organisation.encode()))
    return group | (digest % ((1 << ORGANISATION_BITS) - 1) + 1)


def _read_rate(units: int) -> float:
    return min(max(0.0, units / RATE_UNITS), MAX_RATE_PER_S)
