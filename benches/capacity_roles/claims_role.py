"""Costs of an instance that writes and reads claims in the log."""

from __future__ import annotations

import uuid
from random import Random
from typing import TYPE_CHECKING

from benches.capacity_roles.counting_log import CountingLog
from benches.capacity_roles.measuring import allocated_bytes
from benches.capacity_roles.part_mesh import PartMesh, choose_sampled
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_members, make_view
from benches.capacity_roles.target import SIZES, Target
from savorychute.actions import AppendRecord, ReadRecords
from savorychute.clock import MS_PER_S
from savorychute.requests.claim import Claim
from savorychute.requests.claim_batch import ClaimBatch
from savorychute.requests.claim_index import ClaimIndex
from savorychute.requests.claim_owner import ClaimOwner
from savorychute.requests.key_granted import KeyGranted
from savorychute.requests.key_manager import KeyManager
from savorychute.requests.key_redirect import KeyRedirect
from savorychute.requests.key_settings import KeySettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress

TICK_MS = 100
WARM_UP_MS = 4_000
WINDOW_MS = 3_000
WINDOWS = 3
SAMPLED_INSTANCES = 16
# Assumed: one request in a hundred is not idempotent and brings its own key.
CLAIMED_SHARE = 0.01
FINGERPRINT = 'f' * 32
# Requests of the first seconds, before the stream was read, are refused.
MIN_ADMITTED_SHARE = 0.7
WALL_OFFSET_MS = 1_700_000_000_000
VERSION_BITS = 7 << 76
VARIANT_BITS = 2 << 62
RANDOM_BITS = 62
TIME_SHIFT_BITS = 80


class SimulatedClaimManager:
    """A key manager whose callers supply their own keys.

    :param own: the address of the instance.
    :param alive: all members.
    :param log: the log shared by all instances.
    :param parts: all key managers, for redirected callers.
    :param rate_per_ms: rate of requests with such keys.
    :param rng: random numbers for the load.
    """

    def __init__(
        self,
        own: MemberAddress,
        alive: tuple[MemberAddress, ...],
        log: CountingLog,
        parts: dict[str, SimulatedClaimManager],
        rate_per_ms: float,
        rng: Random,
    ) -> None:
        self._parts = parts
        self.manager = KeyManager(KeySettings(), own, rng)
        self.manager.set_wall_clock(WALL_OFFSET_MS, 0)
        self.admitted = 0
        self.arrived = 0
        self.arrived_keys: list[str] = []
        self._view = make_view(own, alive)
        self._log = log
        self._rng = rng
        self._rate_per_ms = rate_per_ms
        self._arrival_ms = rng.expovariate(rate_per_ms)

    def prepare(self, now_ms: int) -> None:
        """Do nothing; requests are admitted in the tick, which is timed."""

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Admit the requests that arrived, and tick the key manager."""
        results: list[object] = []
        while self._arrival_ms <= now_ms:
            self._arrival_ms += self._rng.expovariate(self._rate_per_ms)
            self.arrived += 1
            self.arrived_keys.append(make_key(WALL_OFFSET_MS + now_ms, self._rng))
        keys, self.arrived_keys = self.arrived_keys, []
        for key in keys:
            results += self.manager.admit(key, key, FINGERPRINT, self._view, now_ms)
        results += self.manager.tick(self._view, now_ms)
        return self._process_results(results, now_ms)

    def receive(
        self, sender: str, message: tuple[object, ...], now_ms: int
    ) -> Sequence[Action]:
        """Pass a peer message to the measured part."""
        results = self.manager.receive(sender, message, self._view, now_ms)
        return self._process_results(results, now_ms)

    def execute_action(self, action: Action, now_ms: int) -> Sequence[Action]:
        """Execute a read or an append on the log."""
        if isinstance(action, ReadRecords):
            read = self._log.read(action)
            return self._process_results(
                self.manager.records_read(read, now_ms), now_ms
            )
        if isinstance(action, AppendRecord):
            finished = self._log.append(action)
            return self._process_results(
                self.manager.append_finished(finished, now_ms), now_ms
            )
        return []

    def _process_results(self, results: Sequence[object], now_ms: int) -> list[Action]:
        """Finish granted requests at once, and pass redirected ones to their target."""
        actions: list[Action] = []
        for result in results:
            if isinstance(result, KeyGranted):
                self.admitted += 1
                self.manager.finish(result.request_id, 200, 'text/plain', b'', now_ms)
            elif isinstance(result, KeyRedirect):
                self._parts[result.address.instance].arrived_keys.append(
                    result.request_id
                )
            elif isinstance(result, (AppendRecord, ReadRecords)):
                actions.append(result)
        return actions


@role(
    'claim writer and reader',
    'eight claim homes by rendezvous, to which the others redirect; one append for '
    'the claims of 20 ms of a home; only homes read the stream (assumed: 1 % of '
    'requests bring their own key, 150 a second; figures are the mean over all '
    'instances, the state is that of a home)',
    'the log: 150 claims a second take several times the tenth of it that the '
    'system may use; keys issued by instances need no append and are the way for '
    'all but few callers',
    SIZES,
)
def measure_claims(instances: int) -> RoleSample:
    """Measure key managers at the assumed rate of claims.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    log = CountingLog()
    target = Target(instances)
    rate_per_ms = target.requests_per_s * CLAIMED_SHARE / instances / MS_PER_S
    parts: dict[str, SimulatedClaimManager] = {}
    for number, own in enumerate(alive):
        parts[own.instance] = SimulatedClaimManager(
            own, alive, log, parts, rate_per_ms, Random(number)
        )
    mesh = PartMesh(parts, choose_sampled(list(parts), SAMPLED_INSTANCES), TICK_MS)
    mesh.run(WARM_UP_MS)
    log.reset_counts()
    costs = mesh.measure(WINDOW_MS, WINDOWS)
    arrived = sum(part.arrived for part in parts.values())
    admitted = sum(part.admitted for part in parts.values())
    if admitted < MIN_ADMITTED_SHARE * arrived:
        raise RuntimeError(f'{admitted} of {arrived} claims were admitted')
    instance_seconds = instances * WINDOWS * WINDOW_MS / MS_PER_S
    return RoleSample(
        instances,
        state_bytes=allocated_bytes(lambda: build_index(instances)),
        processor_us_per_s=costs.processor_us_per_s,
        log_appends_per_s=log.appends / instance_seconds,
        log_reads_per_s=log.reads / instance_seconds,
        log_read_bytes_per_s=log.read_bytes / instance_seconds,
    )


def build_index(instances: int) -> ClaimIndex:
    """Return an index with the claims of one key lifetime, or ``max_claims`` of them.

    :param instances: the size of the system.
    """
    settings = KeySettings()
    rate_per_s = Target(instances).requests_per_s * CLAIMED_SHARE
    claim_count = int(rate_per_s * settings.claim_lifetime_ms / MS_PER_S)
    rng = Random(1)
    index = ClaimIndex(settings)
    index.start(0, WALL_OFFSET_MS)
    for number in range(min(settings.max_claims, claim_count)):
        owner = ClaimOwner(f'entry-{number % instances:04}', 1)
        key = uuid.UUID(make_key(WALL_OFFSET_MS, rng)).hex
        claims = (Claim(key, f'{rng.getrandbits(128):032x}'),)
        index.apply(ClaimBatch(f'{number}', owner, WALL_OFFSET_MS, 0, claims))
    return index


def make_key(wall_ms: int, rng: Random) -> str:
    """Return a key as callers supply it, a UUID of version 7.

    :param wall_ms: the wall time in the key.
    :param rng: source of the random bits.
    """
    value = wall_ms << TIME_SHIFT_BITS | VERSION_BITS | VARIANT_BITS
    return str(uuid.UUID(int=value | rng.getrandbits(RANDOM_BITS)))
