"""Make instances for a virtual run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.instance import Instance, InstanceSettings
from savorychute.testing.tokens import hash_operator_token
from savorychute.testing.world import World

if TYPE_CHECKING:
    from random import Random

    from savorychute.member_address import MemberAddress
    from savorychute.testing.instance_factory import InstanceFactory
    from savorychute.testing.topology import Topology


def make_world(
    topology: Topology, seed: int, settings: InstanceSettings | None = None
) -> World:
    """Return a run of real instances, not configured yet.

    :param settings: of every instance; the defaults if there are none.
    """
    base = settings or InstanceSettings()
    return World(topology, seed, make_factory(base))


def make_factory(settings: InstanceSettings) -> InstanceFactory:
    """Return what makes instances with these settings."""
    hashes = {'operator': hash_operator_token()}

    def make(address: MemberAddress, rng: Random, epoch_offset_ms: int) -> Instance:
        own = settings._replace(
            operator_token_hashes=hashes, epoch_offset_ms=epoch_offset_ms
        )
        return Instance(own, address, rng)

    return make
