"""External dependencies of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from savorychute.clock import Clock, WallClock
    from savorychute.gateway.platform_adapter import PlatformAdapter
    from savorychute.gateway.settings.gateway_settings import GatewaySettings
    from savorychute.http.client_pool import ClientPool
    from savorychute.logs import InstanceLog


class GatewayEnvironment(NamedTuple):
    """Settings, platform access, clocks and randomness for building a gateway."""

    settings: GatewaySettings
    adapter: PlatformAdapter
    endpoints: ClientPool
    store: ClientPool
    log: InstanceLog
    clock: Clock
    wall: WallClock
    rng: random.Random
