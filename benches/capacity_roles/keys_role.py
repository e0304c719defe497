"""Costs of an instance that issues request keys and is a witness for others."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from benches.capacity_roles.part_mesh import PartMesh, choose_sampled
from benches.capacity_roles.role_sample import RoleSample
from benches.capacity_roles.roles import role
from benches.capacity_roles.site import make_members, make_view
from benches.capacity_roles.target import SIZES, Target
from savorychute.actions import SendPeer
from savorychute.clock import MS_PER_S
from savorychute.requests.key_granted import KeyGranted
from savorychute.requests.key_manager import KeyManager
from savorychute.requests.key_settings import KeySettings
from savorychute.requests.start_permitted import StartPermitted

if TYPE_CHECKING:
    from collections.abc import Sequence

    from savorychute.actions import Action
    from savorychute.member_address import MemberAddress

TICK_MS = 100
WARM_UP_MS = 4_000
WINDOW_MS = 3_000
WINDOWS = 3
SAMPLED_INSTANCES = 16
# Assumed: one request in ten is not idempotent and runs under an issued key.
KEYED_SHARE = 0.1
FINGERPRINT = 'f' * 32


class SimulatedKeyIssuer:
    """A key manager that issues keys and is a witness for other instances.

    :param own: the address of the instance.
    :param alive: all members.
    :param rate_per_ms: rate of requests with such keys.
    :param rng: random numbers for the load.
    """

    def __init__(
        self,
        own: MemberAddress,
        alive: tuple[MemberAddress, ...],
        rate_per_ms: float,
        rng: Random,
    ) -> None:
        self.manager = KeyManager(KeySettings(), own, rng)
        self.permitted = 0
        self._view = make_view(own, alive)
        self._rng = rng
        self._rate_per_ms = rate_per_ms
        self._arrival_ms = rng.expovariate(rate_per_ms)

    def prepare(self, now_ms: int) -> None:
        """Do nothing; requests are admitted in the tick, which is timed."""

    def tick(self, now_ms: int) -> Sequence[Action]:
        """Issue, admit and announce requests, and tick the key manager."""
        results: list[object] = []
        while self._arrival_ms <= now_ms:
            self._arrival_ms += self._rng.expovariate(self._rate_per_ms)
            key = self.manager.issuer.issue(self._view, now_ms)
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
        """Do nothing; the log is not measured here."""
        del action, now_ms
        return []

    def _process_results(self, results: Sequence[object], now_ms: int) -> list[Action]:
        """Announce granted requests, and finish permitted ones at once."""
        actions: list[Action] = []
        for result in results:
            if isinstance(result, KeyGranted):
                announced = self.manager.announce_start(
                    result.request_id, 'engine-0001', 'stream', self._view, now_ms
                )
                actions += self._process_results(announced, now_ms)
            elif isinstance(result, StartPermitted):
                self.permitted += 1
                self.manager.finish(result.request_id, 200, 'text/plain', b'', now_ms)
            elif isinstance(result, SendPeer):
                actions.append(result)
        return actions


@role(
    'issuer of keys and witness',
    'one notice to the witness and its answer for each start under an issued '
    'key, news of settled keys once a second (assumed: 10 % of requests, 2.8 a '
    'second for each instance)',
    'the two messages for each keyed start: at some 20 a second for each instance '
    'they would need to be sent in groups',
    SIZES,
)
def measure_keys(instances: int) -> RoleSample:
    """Measure key managers at the assumed rate of keyed requests.

    :param instances: the size of the system.
    """
    alive = make_members(instances)
    rate_per_ms = Target(instances).requests_per_s * KEYED_SHARE / instances / MS_PER_S
    parts = {
        own.instance: SimulatedKeyIssuer(own, alive, rate_per_ms, Random(number))
        for number, own in enumerate(alive)
    }
    mesh = PartMesh(parts, choose_sampled(list(parts), SAMPLED_INSTANCES), TICK_MS)
    mesh.run(WARM_UP_MS)
    costs = mesh.measure(WINDOW_MS, WINDOWS)
    if instances > 1 and not any(part.permitted for part in parts.values()):
        raise RuntimeError('no start was permitted')
    return RoleSample(instances, **costs._asdict())
