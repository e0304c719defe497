"""The instances of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import SavorychuteError
from savorychute.testing.environment import Environment

if TYPE_CHECKING:
    from savorychute.membership.discovery_answer import DiscoveryAnswer
    from savorychute.testing.instance_host import InstanceHost
    from savorychute.testing.topology import Topology


class Fleet(Environment):
    """The environment of a simulation together with its instances.

    :param topology: the components of the system.
    :param seed: the seed of all random choices.
    """

    def __init__(self, topology: Topology, seed: int) -> None:
        super().__init__(topology, seed)
        self.instances: dict[str, InstanceHost] = {}

    def find_serving_instance(self) -> InstanceHost:
        """Return an instance that accepts requests.

        :raises SavorychuteError: if no instance does.
        """
        for host in self.instances.values():
            if host.is_serving:
                return host
        raise SavorychuteError('no instance serves')

    def issue_key(self, host: InstanceHost, organisation: str) -> str:
        """Request a key from an instance; return an empty string if it issues none."""
        try:
            return host.instance.issue_key(f'token-{organisation}', host.now_ms())
        except SavorychuteError:
            return ''

    def discover(self, host: InstanceHost, organisation: str) -> DiscoveryAnswer:
        """Query an instance for the instances that an organisation should use."""
        return host.instance.discover(f'token-{organisation}')

    def find_by_caller_port(self, address: str, port: int) -> InstanceHost | None:
        """Return the instance that listens for callers at an address."""
        for host in self.instances.values():
            if (host.address.host, host.address.caller_port) == (address, port):
                return host
        return None

    def find_peer(self, address: str, port: int) -> InstanceHost | None:
        """Return the running instance that listens for peers at an address."""
        for host in self.instances.values():
            if host.address.peer_port == port and host.address.host == address:
                return host if host.is_up else None
        return None
