"""Costs of an instance that serves callers and is the home of endpoints."""

from __future__ import annotations

import heapq
from collections import Counter, deque
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from benches.capacity_roles.measuring import allocated_bytes
from benches.capacity_roles.part_mesh import PartMesh, choose_sampled
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_endpoints, make_members, make_view
from benches.capacity_roles.target import (
    SIZES,
    TARGET_INSTANCES,
    TARGET_MODELS,
    TARGET_REQUESTS_PER_S,
    TARGET_TIERS,
)
from savorychute.clock import MS_PER_S
from savorychute.credits.ledger import CreditLedger
from savorychute.credits.settings import CreditSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.contracts.endpoint_document import EndpointDocument
    from savorychute.member_address import MemberAddress

TICK_MS = 100
WARM_UP_MS = 12_000
WINDOW_MS = 2_000
WINDOWS = 3
SAMPLED_INSTANCES = 12
MEAN_SERVICE_MS = 8_000
EXPECTED_TOKENS = 200
REQUESTS_PER_MS = TARGET_REQUESTS_PER_S / TARGET_INSTANCES / MS_PER_S
POOLS = tuple(f'model-{model}' for model in range(TARGET_MODELS))


class ActiveRequest(NamedTuple):
    """A running request that holds a credit."""

    end_ms: int
    attempt_id: str
    pool: str
    tier: int


class SimulatedLedger:
    """A ledger under one instance's share of the target load.

    Requests arrive at random for models and tiers in equal parts, run for a
    random time and wait in a FIFO queue while there is no credit.

    :param own: the address of the instance.
    :param alive: all members.
    :param endpoints: all endpoints.
    :param rng: random numbers for the load.
    """

    def __init__(
        self,
        own: MemberAddress,
        alive: tuple[MemberAddress, ...],
        endpoints: dict[str, EndpointDocument],
        rng: Random,
    ) -> None:
        self.ledger = CreditLedger(CreditSettings(), own.instance, rng)
        self.ledger.set_endpoints(endpoints)
        self.started = 0
        self.waited = 0
        self._view = make_view(own, alive)
        self._rng = rng
        self._waiting: dict[str, deque[int]] = {pool: deque() for pool in POOLS}
        self._running: list[ActiveRequest] = []
        self._running_counts = {pool: Counter[int]() for pool in POOLS}
        self._arrival_ms = rng.expovariate(REQUESTS_PER_MS)

    def prepare(self, now_ms: int) -> None:
        """End, start and queue requests."""
        while self._running and self._running[0].end_ms <= now_ms:
            ended = heapq.heappop(self._running)
            self.ledger.release(ended.attempt_id, now_ms)
            self._running_counts[ended.pool][ended.tier] -= 1
        for pool, queue in self._waiting.items():
            while queue and self._start(pool, queue[0], now_ms):
                queue.popleft()
        while self._arrival_ms <= now_ms:
            self._arrival_ms += self._rng.expovariate(REQUESTS_PER_MS)
            pool = self._rng.choice(POOLS)
            tier = self._rng.randrange(TARGET_TIERS)
            if not self._start(pool, tier, now_ms):
                self._waiting[pool].append(tier)
                self.waited += 1
        for pool, running in self._running_counts.items():
            by_tier = running + Counter(self._waiting[pool])
            self.ledger.set_demand(pool, dict(by_tier), now_ms)

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Tick the ledger."""
        return self.ledger.tick(self._view, now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Pass a peer message to the measured part."""
        return self.ledger.receive(sender, message, self._view, now_ms)

    def execute_action(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Do nothing; a ledger only sends peer messages."""
        del action, now_ms
        return []

    def _start(self, pool: str, tier: int, now_ms: int) -> bool:
        """Start a request at the best of two endpoints with credit."""
        candidates = self.ledger.candidates(pool)
        preferred = self._rng.sample(candidates, min(2, len(candidates)))
        preferred.sort(key=lambda name: -self.ledger.available(name, tier))
        attempt_id = f'attempt-{self.started}'
        for endpoint in (*preferred, *candidates):
            if self.ledger.acquire(endpoint, attempt_id, tier, EXPECTED_TOKENS, now_ms):
                self.started += 1
                self._running_counts[pool][tier] += 1
                service_ms = int(self._rng.expovariate(1 / MEAN_SERVICE_MS))
                running = ActiveRequest(now_ms + service_ms, attempt_id, pool, tier)
                heapq.heappush(self._running, running)
                return True
        return False


@role(
    'entry of callers and home of endpoints',
    'credits for groups of endpoints, reported and granted once a second for each '
    'pair of instance and home, batched; each instance uses at most 16 endpoints '
    'of a model',
    'the number of models that an instance serves: each adds a group, and each '
    'group a report and a grant a second',
    SIZES,
)
def measure_credits(instances: int) -> RoleSample:
    """Measure ledgers under the target load, with all pools at every instance.

    Credits stay inside a region, so only the instances of one region run; they
    know the members and endpoints of all regions.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    endpoints = make_endpoints(instances)
    parts = {
        own.instance: SimulatedLedger(own, alive, endpoints, Random(number))
        for number, own in enumerate(alive)
        if own.region == alive[0].region
    }
    mesh = PartMesh(parts, choose_sampled(list(parts), SAMPLED_INSTANCES), TICK_MS)
    mesh.run(WARM_UP_MS)
    costs = mesh.measure(WINDOW_MS, WINDOWS)
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(lambda: build_ledger(instances)),
        **costs._asdict(),
    )


def build_ledger(instances: int) -> CreditLedger:
    """Return a ledger that knows all endpoints; the documents are not counted.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    ledger = CreditLedger(CreditSettings(), alive[0].instance, Random(1))
    ledger.set_endpoints(make_endpoints(instances))
    ledger.tick(make_view(alive[0], alive), 0)
    return ledger
