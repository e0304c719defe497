"""The listening sockets of a gateway."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

from savorychute.http.http_limits import HttpLimits
from savorychute.http.http_server import HttpServer, listen
from savorychute.settings.network_address import NetworkAddress

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from savorychute.clock import Clock
    from savorychute.gateway.daemon.early_listeners import EarlyListeners
    from savorychute.gateway.daemon.gateway_host import GatewayHost
    from savorychute.gateway.settings.gateway_settings import GatewaySettings

# Bodies in memory, as a part of what the process may use.
BUFFER_SHARE = 0.15
BYTES_PER_MB = 1 << 20


@asynccontextmanager
async def open_servers(
    settings: GatewaySettings,
    host: GatewayHost,
    clock: Clock,
    listeners: EarlyListeners,
) -> AsyncIterator[None]:
    """Listen for callers, for the platform and for metrics until the block ends.

    :param settings: the addresses.
    :param host: who takes the requests.
    :param clock: the time for idle connections.
    :param listeners: sockets that listen already, by address.
    """
    buffered = int(BUFFER_SHARE * settings.memory_mb * BYTES_PER_MB)
    limits = HttpLimits(buffered_bytes=buffered, unread_bytes=buffered)
    metrics = NetworkAddress(settings.caller_address.host, settings.metrics_port)
    callers = HttpServer(limits, clock, host.take_request)
    async with AsyncExitStack() as stack:
        for address, server in (
            (
                settings.readiness_address,
                HttpServer(limits, clock, host.take_readiness),
            ),
            (
                settings.discovery_address,
                HttpServer(limits, clock, host.take_discovery),
            ),
            (metrics, HttpServer(limits, clock, host.take_metrics)),
            (settings.caller_address, callers),
        ):
            listener = listeners.get(str(address))
            await stack.enter_async_context(
                listen(server, address.host, address.port, listener=listener)
            )
        host.serve_callers(callers)
        yield
