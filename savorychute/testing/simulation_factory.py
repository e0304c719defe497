"""Creation of simulations with real instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.instance import Instance, InstanceSettings
from savorychute.testing.simulation import Simulation
from savorychute.testing.tokens import hash_operator_token

if TYPE_CHECKING:
    from random import Random

    from savorychute.member_address import MemberAddress
    from savorychute.testing.instance_factory import InstanceFactory
    from savorychute.testing.topology import Topology


def make_simulation(
    topology: Topology, seed: int, settings: InstanceSettings | None = None
) -> Simulation:
    """Return a simulation of real instances, without a configuration.

    :param settings: the settings of every instance; None for the defaults.
    """
    base = settings or InstanceSettings()
    return Simulation(topology, seed, make_factory(base))


def make_factory(settings: InstanceSettings) -> InstanceFactory:
    """Return a factory of instances with these settings."""
    hashes = {'operator': hash_operator_token()}

    def make(address: MemberAddress, rng: Random, epoch_offset_ms: int) -> Instance:
        instance_settings = settings._replace(
            operator_token_hashes=hashes, epoch_offset_ms=epoch_offset_ms
        )
        return Instance(instance_settings, address, rng)

    return make
