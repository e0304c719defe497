"""The instances of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorychute.errors import SavorychuteError
from savorychute.testing.surroundings import Surroundings

if TYPE_CHECKING:
    from savorychute.membership.discovery_answer import DiscoveryAnswer
    from savorychute.testing.instance_host import InstanceHost
    from savorychute.testing.topology import Topology


class Fleet(Surroundings):
    """Knows the instances, and how to reach them.

    :param topology: what there is.
    :param seed: of every random choice.
    """

    def __init__(self, topology: Topology, seed: int) -> None:
        super().__init__(topology, seed)
        self.instances: dict[str, InstanceHost] = {}

    def first_serving(self) -> InstanceHost:
        """Return an instance that takes requests.

        :raises SavorychuteError: if there is none.
        """
        for host in self.instances.values():
            if host.is_serving:
                return host
        raise SavorychuteError('no instance serves')

    def issue_key(self, host: InstanceHost, organisation: str) -> str:
        """Ask an instance for a request key; empty if it gives none."""
        try:
            return host.instance.issue_key(f'token-{organisation}', host.now_ms())
        except SavorychuteError:
            return ''

    def discover(self, host: InstanceHost, organisation: str) -> DiscoveryAnswer:
        """Ask an instance which instances an organisation should use."""
        return host.instance.discover(f'token-{organisation}')

    def find_caller_port(self, address: str, port: int) -> InstanceHost | None:
        """Return the instance that listens there for callers."""
        for host in self.instances.values():
            if (host.address.host, host.address.caller_port) == (address, port):
                return host
        return None

    def find_peer(self, address: str, port: int) -> InstanceHost | None:
        """Return the instance that listens there for other instances."""
        for host in self.instances.values():
            if host.address.peer_port == port and host.address.host == address:
                return host if host.is_up else None
        return None
