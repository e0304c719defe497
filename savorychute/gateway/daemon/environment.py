"""External dependencies of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from savorychute.clock import Clock, WallClock
    from savorychute.gateway.daemon.path_connector import PathConnector
    from savorychute.gateway.paths.path_table import PathTable
    from savorychute.gateway.paths.relay_table import RelayTable
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.http.client_pool import ClientPool
    from savorychute.http.connection_budget import ConnectionBudget
    from savorychute.logs import InstanceLog


class EndpointPaths(NamedTuple):
    """The paths to endpoints, and what opens connections on them."""

    table: PathTable
    relays: RelayTable
    connector: PathConnector


class GatewayEnvironment(NamedTuple):
    """Settings, platform access, clocks and randomness for building a gateway."""

    settings: GatewaySettings
    adapter: PlatformAdapter
    endpoints: ClientPool
    paths: EndpointPaths
    store: ClientPool
    log: InstanceLog
    clock: Clock
    wall: WallClock
    budget: ConnectionBudget
    rng: random.Random
